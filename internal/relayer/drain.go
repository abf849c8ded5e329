package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
)

const (
	// _drainRetryAfter is when a caller that a shutdown refuses should retry. Other processes
	// can serve it at once.
	_drainRetryAfter = 100 * time.Millisecond
	// _maxCutLines bounds the log lines for the requests that a shutdown cuts off.
	_maxCutLines = 50
	// _settleInterval is the time between two searches for requests to settle.
	_settleInterval = 50 * time.Millisecond
)

// errSettled is the cause with which a shutdown cancels the context of a request.
var errSettled = errors.New("relayer: shutdown reached its limit before a response began")

// Shutdown is a shutdown of the process.
type Shutdown struct {
	BeganAt time.Time
	// NoticeEnd is until when requests are served as usual.
	NoticeEnd time.Time
	// SettleAt is when requests without a response are settled, shortly before responses are
	// cut off; the zero time means never. A request that is complete after NoticeEnd is refused
	// if its deadline is later than this.
	SettleAt time.Time
}

// mayCut reports whether the shutdown may cut off the response to a request that was read
// whole after the notice.
func (d Shutdown) mayCut(completeAt, deadline time.Time) bool {
	return !d.SettleAt.IsZero() && completeAt.After(d.NoticeEnd) && deadline.After(d.SettleAt)
}

// StartDraining makes each response close its connection, so that callers connect to
// another process before this one ends. Requests that are complete only after the notice are
// refused if their deadline is later than its SettleAt.
func (s *Relayer) StartDraining(d Shutdown) { s.drain.Store(&d) }

// SettleRequests makes the requests whose responses have not begun at their callers end with
// a final response, so that a shutdown does not cut them off without one. Until ctx ends it
// leaves those alone whose upstreams send data, and then settles them too.
func (s *Relayer) SettleRequests(ctx context.Context) {
	for pauses := true; pauses; {
		s.settleRequests(time.Now(), false)
		pauses = pauser.Pause(ctx, _settleInterval)
	}
	s.settleRequests(time.Now(), true)
}

func (s *Relayer) settleRequests(now time.Time, all bool) {
	for _, p := range s.open.list() {
		p.settle(now, all)
	}
}

// settle ends what the request waits for, because of a shutdown.
func (c *call) settle() { c.cancel(errSettled) }

// beginResponse records that the response to the caller begins. During a shutdown it closes
// the connection. It returns false if the shutdown has settled the request.
func (c *call) beginResponse() bool {
	if c.drain.Load() != nil {
		c.w.Header().Set("Connection", "close")
	}
	return c.progress.begin()
}

// isSettled reports whether the shutdown has settled the request.
func (c *call) isSettled() bool { return errors.Is(context.Cause(c.ctx), errSettled) }

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
	if d == nil || !d.mayCut(c.progress.get().completeAt, c.deadline) {
		return false
	}
	c.refuseFor(http.StatusServiceUnavailable, "draining", _drainRetryAfter)
	return true
}
