package relayer

import (
	"net/http"
	"time"
)

// _drainRetryAfter is when a caller that a shutdown refuses should retry. Other processes
// can serve it at once.
const _drainRetryAfter = 100 * time.Millisecond

// drain is a shutdown of the process.
type drain struct {
	// noticeEnd is until when requests are served as usual.
	noticeEnd time.Time
	// end is when responses are cut off; the zero time means never.
	end time.Time
}

// mayCut reports whether the shutdown may cut off the response to a request that arrives
// after the notice.
func (d drain) mayCut(arrivedAt, deadline time.Time) bool {
	return !d.end.IsZero() && arrivedAt.After(d.noticeEnd) && deadline.After(d.end)
}

// StartDraining makes each response close its connection, so that callers connect to
// another process before this one ends. Requests that arrive after noticeEnd are refused
// if their deadline is later than end, the time at which the process cuts responses off; a
// zero end sets no limit.
func (s *Relayer) StartDraining(noticeEnd, end time.Time) {
	s.drain.Store(&drain{noticeEnd: noticeEnd, end: end})
}

// refuseDraining refuses the request if the shutdown may cut off its response. It returns
// whether it did.
func (c *call) refuseDraining() bool {
	d := c.drain.Load()
	if d == nil || !d.mayCut(c.arrivedAt, c.deadline) {
		return false
	}
	c.refuseFor(http.StatusServiceUnavailable, "draining", _drainRetryAfter)
	return true
}
