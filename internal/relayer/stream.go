package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _streamBuffer is the size of one read of a stream, in bytes.
const _streamBuffer = 4 << 10

// position is how far a stream has been passed on.
type position struct {
	// last is the id of the last event that the caller has.
	last uint64
	// events counts what was passed on.
	events int
}

// stream relays a request whose answer is a stream of events.
func (c *call) stream() {
	p := position{last: c.request.LastEvent}
	reason := "no-upstream"
	for {
		ok, why := c.another()
		if !ok {
			if c.sends == 0 || why != "over" {
				reason = why
			}
			break
		}
		u, full := c.choose()
		if full != "" {
			if c.sends == 0 {
				reason = string(full)
			}
			break
		}
		done := false
		done, reason = c.streamAt(u, &p)
		if done {
			return
		}
		c.Log.Event("send-ended", logger.Fields{
			"request": c.request.ID, "upstream": u.ID, "send": c.sends, "reason": reason, "last_event": p.last, "events": p.events, "error": c.last,
		})
	}
	if !c.started {
		c.over(reason)
		return
	}
	c.cut(reason)
}

// cut ends a stream so that it can't look whole.
func (c *call) cut(reason string) {
	c.outcome = reason
	if c.r.Context().Err() != nil {
		c.outcome = "caller-left"
	}
	if c.last == nil {
		c.last = errors.New("the stream was broken off")
	}
	panic(http.ErrAbortHandler)
}

// streamAt relays the stream from one upstream, from the position on. It returns
// true where the caller has the whole answer or an upstream's own failure, and
// otherwise why not.
func (c *call) streamAt(u cataloguer.Upstream, p *position) (bool, string) {
	defer c.Balancer.Release(u.ID)
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	watch := c.Watchdog.Watch(Send{Upstream: u.ID, Epoch: u.Group.Epoch, Wait: c.admitter.Wait(), End: func() { cancel(errSilent) }, May: c.elsewhere(u.ID)})
	defer watch.End()
	resumed := uint64(0)
	if p.events > 0 {
		resumed = p.last
		c.resumed++
	}
	x, a, err := c.send(ctx, u, resumed)
	if err != nil {
		c.suspect(u, err)
		return false, "upstream-failed"
	}
	defer func() { _ = x.Close() }() // a connection that can't be closed can't be used either
	watch.Heard()
	status := x.Response.StatusCode
	switch {
	case a.NotRun:
		if a.Fault != "" {
			c.Balancer.MarkSilent(u.ID, u.Group.Epoch, true, time.Now())
		} else {
			c.Balancer.MarkFull(u.ID, time.Now())
		}
		return false, "refused-by-upstream"
	case status >= 300 && c.started:
		return false, "failed-by-upstream"
	case status >= 300:
		return c.failure(x, a, status)
	case !a.Signed || a.Encoded:
		c.last = errors.New("the answer is not signed")
		return false, "answer-broken"
	}
	return c.relay(x, watch, p)
}

// failure passes on an upstream's own failure.
func (c *call) failure(x *forwarder.Exchange, a Answer, status int) (bool, string) {
	body, err := io.ReadAll(io.LimitReader(x, _maxPlain))
	if err != nil || promises(status) || !a.Signed {
		c.last = errors.Join(err, fmt.Errorf("the upstream answered %d", status))
		return false, "failed-by-upstream"
	}
	c.pass(x, status, body)
	return true, ""
}

// elsewhere returns a function that says whether the request could go on at
// another upstream now, were the next send, to the one given, broken off.
func (c *call) elsewhere(id string) func() bool {
	if !c.route.Repeatable() || c.sends+1 >= c.route.Attempts {
		return func() bool { return false }
	}
	avoid := append(slices.Clone(c.tried), id)
	return func() bool {
		candidates, limit := c.candidates()
		now := time.Now()
		return c.Balancer.HasCapacity(candidates, balancer.Query{Now: now, Limit: limit, Exclude: avoid}) && c.Budget.Left(c.service.Name, now)
	}
}

// relay passes events on until the stream is whole.
func (c *call) relay(x *forwarder.Exchange, watch *Watch, p *position) (bool, string) {
	var s splitter
	buffer := make([]byte, _streamBuffer)
	for {
		n, err := x.Read(buffer)
		if n > 0 {
			watch.Heard()
			s.add(buffer[:n])
			if why := c.passEvents(x, &s, p); why != "" {
				return false, why
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(s.rest()) == 0:
			c.status, c.outcome, c.last = http.StatusOK, "answered", nil
			if !c.started {
				c.head(x)
			}
			return true, ""
		case err != nil:
			c.last = err
			if cause := context.Cause(c.ctx); cause != nil {
				c.last = cause
			}
			return false, "stream-broken"
		}
	}
}

// passEvents passes on the whole events that have come. It returns why the
// stream can't go on, or "".
func (c *call) passEvents(x *forwarder.Exchange, s *splitter, p *position) string {
	wrote, fault := false, ""
	for {
		e, ok := s.next()
		if !ok {
			break
		}
		if e.id != 0 && p.last != 0 && e.id != p.last+1 {
			c.last = fmt.Errorf("event %d came after event %d", e.id, p.last)
			fault = "answer-broken"
			break
		}
		if !c.started {
			c.head(x)
		}
		if _, err := c.w.Write(e.raw); err != nil {
			c.last = err
			return "caller-left"
		}
		wrote = true
		p.events++
		if e.id != 0 {
			p.last = e.id
		}
	}
	if !wrote {
		return fault
	}
	c.passed(time.Now())
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.last = err
		return "caller-left"
	}
	return fault
}

// passed notes that events were passed on.
func (c *call) passed(now time.Time) {
	if !c.latest.IsZero() {
		c.gap = max(c.gap, now.Sub(c.latest))
	}
	c.latest = now
}

// head passes on the head of the first answer.
func (c *call) head(x *forwarder.Exchange) {
	copyHeader(c.w.Header(), x.Response.Header)
	c.status, c.started, c.first = x.Response.StatusCode, true, time.Now()
	c.waitOver()
	c.w.WriteHeader(c.status)
	if c.sends == 1 && !c.returning {
		c.admitter.First(c.first, c.places, c.first.Sub(c.sent), c.route.LatencyTarget)
	}
	if c.Meter != nil {
		c.Meter.FirstToken(c.organisation, c.first.Sub(c.began))
	}
}
