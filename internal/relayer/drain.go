package relayer

import (
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

const (
	// _drainRetryAfter is when a caller that a shutdown refuses should retry. Other processes
	// can serve it at once.
	_drainRetryAfter = 100 * time.Millisecond
	// _maxCutLines bounds the log lines for the requests that a shutdown cuts off.
	_maxCutLines = 50
)

// Shutdown is a shutdown of the process.
type Shutdown struct {
	BeganAt time.Time
	// NoticeEnd is until when requests are served as usual.
	NoticeEnd time.Time
	// End is when responses are cut off; the zero time means never.
	End time.Time
}

// mayCut reports whether the shutdown may cut off the response to a request that arrives
// after the notice.
func (d Shutdown) mayCut(arrivedAt, deadline time.Time) bool {
	return !d.End.IsZero() && arrivedAt.After(d.NoticeEnd) && deadline.After(d.End)
}

// StartDraining makes each response close its connection, so that callers connect to
// another process before this one ends. Requests that arrive after the notice are refused
// if their deadline is later than the shutdown's end.
func (s *Relayer) StartDraining(d Shutdown) { s.drain.Store(&d) }

// LogCutRequests logs the requests that are open when a shutdown cuts off their responses.
func (s *Relayer) LogCutRequests(now time.Time) {
	d := s.drain.Load()
	if d == nil {
		return
	}
	open := s.open.list()
	for _, p := range open[:min(len(open), _maxCutLines)] {
		s.Log.Warn("request-cut", p.get().cutFields(d.BeganAt, now))
	}
	if unlogged := len(open) - _maxCutLines; unlogged > 0 {
		s.Log.Warn("request-cut", logger.Fields{"others": unlogged})
	}
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
