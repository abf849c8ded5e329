package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/eventparser"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
)

// _streamBuffer is the size of one read of a stream, in bytes.
const _streamBuffer = 4 << 10

// _resumePause is the time between two attempts to resume a stream. It bounds the looks at the
// upstreams to ten a second.
const _resumePause = 100 * time.Millisecond

// _lastWriteTime is how long events that have arrived by the deadline of a request are written.
const _lastWriteTime = 500 * time.Millisecond

// position is how much of a stream the caller has received.
type position struct {
	// last is the id of the last event that was passed on.
	last uint64
	// events counts the events that were passed on.
	events int
}

// relayStream relays a request whose response is a stream of events.
func (c *call) relayStream() {
	p := position{last: c.request.LastEvent}
	reason := "no-upstream"
	defer c.releaseNextUpstream()
	defer c.setWriteDeadline(time.Time{})
	for {
		ok, why := c.canSend()
		if !ok {
			if (why == _reasonBudget || why == _reasonNoTime || why == _reasonRefused) && c.awaitResume(why) {
				continue
			}
			if c.sends == 0 || why != "over" {
				reason = why
			}
			break
		}
		u, whyNone := c.acquireUpstream()
		if whyNone != "" {
			if c.awaitResume(string(whyNone)) {
				continue
			}
			if c.sends == 0 {
				reason = string(whyNone)
			}
			break
		}
		done := false
		done, reason = c.streamFrom(u, &p)
		if done {
			return
		}
		c.brokenAt = time.Now()
		c.Log.Event("send-ended", logger.Fields{
			"request": c.request.ID, "upstream": u.ID, "send": c.sends, "reason": reason, "last_event": p.last, "events": p.events, "error": c.lastErr,
			"parts": c.partNames(c.parts),
		})
	}
	if !c.headWritten {
		c.respondUnanswered(reason)
		return
	}
	c.abortStream(reason)
}

// awaitResume pauses before another attempt to resume a stream that has begun: its caller still
// waits, and can get nothing but the rest of it. why is what it waits for. awaitResume returns
// false if the stream has not begun or the request is over.
func (c *call) awaitResume(why string) bool {
	if !c.headWritten {
		return false
	}
	c.progress.update(func(s *state) { s.waitsFor = why })
	return pauser.Pause(c.ctx, _resumePause)
}

// abortStream closes the caller's connection in the middle of the response, so
// that the caller can't take the stream for complete.
func (c *call) abortStream(reason string) {
	c.outcome = reason
	if c.r.Context().Err() != nil {
		c.outcome = "caller-left"
	}
	if c.lastErr == nil {
		c.lastErr = errors.New("relayer: stream broken off before its end")
	}
	panic(http.ErrAbortHandler)
}

// streamFrom relays the stream from one upstream, starting after p. It returns true
// if the caller has received the whole stream or an error response of the
// upstream, and otherwise false and the reason.
func (c *call) streamFrom(u cataloguer.Upstream, p *position) (bool, string) {
	defer c.Balancer.Release(u.ID)
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	watch := c.Watchdog.Watch(Send{Upstream: u.ID, Epoch: u.Group.Epoch, ExpectedWait: c.admitter.FirstEventWait(), Cancel: func() { cancel(errSilent) }, Reroute: c.rerouteFrom(u.ID)})
	defer watch.Stop()
	c.life = quarantiner.Life{Upstream: u.ID, Epoch: u.Group.Epoch}
	resumed := uint64(0)
	if p.events > 0 {
		resumed = p.last
		c.resumes++
	}
	x, a, err := c.send(ctx, u, resumed)
	if err != nil {
		c.reportSilence(u, err)
		c.recordFailedSend(ctx, err)
		return false, "upstream-failed"
	}
	defer func() { _ = x.Close() }() // the connection is not reused if closing fails
	watch.RecordActivity()
	status := x.Response.StatusCode
	switch {
	case a.NotRun:
		if a.FaultyUpstream != "" {
			c.Balancer.MarkSilent(u.ID, u.Group.Epoch, true, time.Now())
		} else {
			c.Balancer.MarkFull(u.ID, time.Now())
		}
		return false, "refused-by-upstream"
	case status >= 300 && c.headWritten:
		return false, "failed-by-upstream"
	case status >= 300:
		return c.relayError(x, a, status)
	case !a.Signed || a.Encoded:
		c.lastErr = errors.New("relayer: upstream response has no signature or has a content encoding")
		return false, "answer-broken"
	}
	done, reason := c.relayEvents(ctx, x, watch, p)
	if reason == "stream-broken" && context.Cause(ctx) == nil {
		c.recordBroken()
	}
	return done, reason
}

// relayError passes on the error response of an upstream. It returns false and the
// reason if the caller must not receive that response.
func (c *call) relayError(x *forwarder.Exchange, a Response, status int) (bool, string) {
	body, err := c.readResponse(dataReader{x, &c.progress})
	if body != nil {
		defer body.Close()
	}
	if err != nil || promisesNotRun(status) || !a.Signed {
		c.lastErr = errors.Join(err, fmt.Errorf("relayer: upstream responded with status %d", status))
		return false, "failed-by-upstream"
	}
	c.writeResponse(&plainResponse{status: status, header: x.Response.Header, body: body})
	return true, ""
}

// rerouteFrom returns a function that reserves a slot at another upstream and a retry for the
// request, if the next send, to the upstream with the given id, is to be cancelled. It
// reports whether the request can continue there.
func (c *call) rerouteFrom(id string) func() bool {
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts || c.sends+1 >= c.maxSends() {
		return func() bool { return false }
	}
	exclude := append(slices.Clone(c.tried), id)
	return func() bool {
		now := time.Now()
		if !c.Budget.CanSpend(c.service.Name, now) {
			return false
		}
		selection, limit := c.selection(now)
		u, reason := c.acquireFrom(selection, limit, exclude, now)
		if reason != "" {
			return false
		}
		if !c.Budget.Spend(c.service.Name, now) {
			c.Balancer.Release(u.ID)
			return false
		}
		c.nextUpstream.Store(&u)
		return true
	}
}

// releaseNextUpstream gives up the slot that was reserved for another send, if there is one.
func (c *call) releaseNextUpstream() {
	if u := c.nextUpstream.Swap(nil); u != nil {
		c.Balancer.Release(u.ID)
	}
}

// relayEvents passes events on until the stream is complete. It returns false and
// the reason if the stream breaks off before that. Only whole events are progress: neither
// the watchdog nor a shutdown's limit counts other bytes.
func (c *call) relayEvents(ctx context.Context, x *forwarder.Exchange, watch *Watch, p *position) (bool, string) {
	parser := eventparser.Parser{Last: p.last, IsExtension: c.Protocol.IsEventField}
	buffer := make([]byte, _streamBuffer)
	for {
		n, err := x.Read(buffer)
		if n > 0 {
			c.progress.update(func(s *state) { s.bytes += n })
			before := p.events
			parser.Add(buffer[:n])
			why := c.passEvents(x, &parser, p)
			if p.events > before {
				watch.RecordActivity()
			}
			if why != "" {
				return false, why
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(x, &parser)
		case err != nil:
			c.lastErr = err
			// The read fails because ctx closed the connection, for example for silence.
			if cause := context.Cause(ctx); cause != nil {
				c.lastErr = cause
			}
			return false, "stream-broken"
		}
	}
}

// endStream completes the response after the last bytes of a stream. It returns false and the
// reason if the stream is not complete.
func (c *call) endStream(x *forwarder.Exchange, parser *eventparser.Parser) (bool, string) {
	rest, ok := parser.End()
	switch {
	case !ok:
		c.lastErr = io.ErrUnexpectedEOF
		return false, "stream-broken"
	case c.sendEvents == 0 && isUnframed(x.Response):
		c.lastErr = errors.New("relayer: response without length or chunks ended before its first event")
		return false, "stream-broken"
	}
	c.status, c.outcome, c.lastErr = http.StatusOK, "answered", nil
	c.Quarantine.RecordOutput(c.parts)
	if !c.headWritten {
		c.beginResponse()
		c.writeHead(x)
	}
	_, _ = c.w.Write(rest) // an error means that the caller has left
	return true, ""
}

// isUnframed reports whether a response has neither a length nor chunks, so that the end of
// its connection is its end, whether it is complete or not.
func isUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// passEvents passes on the events that have been received whole. It returns the reason
// why the stream can't continue, or "" if it can.
func (c *call) passEvents(x *forwarder.Exchange, parser *eventparser.Parser, p *position) string {
	wrote, fault := false, ""
	for {
		e, ok, err := parser.Next()
		if err != nil {
			c.lastErr = fmt.Errorf("relayer: response of %s: %w", c.life.Upstream, err)
			fault = "answer-broken"
		}
		if !ok {
			break
		}
		if !c.headWritten && !c.beginResponse() {
			c.lastErr = errSettled
			return "draining"
		}
		if !c.headWritten {
			c.writeHead(x)
		}
		if _, err := c.w.Write(e.Raw); err != nil {
			c.lastErr = err
			return "caller-left"
		}
		wrote = true
		p.events++
		p.last = e.ID
		c.countOutput()
	}
	if !wrote {
		return fault
	}
	now := time.Now()
	c.recordPassed(now)
	c.progress.update(func(s *state) { s.events, s.dataAt = p.events, now })
	c.Quarantine.RecordActivity(c.life, c.sentAt, c.lastEventsAt)
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.lastErr = err
		return "caller-left"
	}
	return fault
}

// recordPassed updates longestGap when events were passed on at now.
func (c *call) recordPassed(now time.Time) {
	if !c.lastEventsAt.IsZero() {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventsAt))
	}
	c.lastEventsAt = now
}

// setWriteDeadline sets the time at which a write to the caller fails.
func (c *call) setWriteDeadline(t time.Time) {
	// An error means that the connection is closed, or that it knows no deadlines.
	_ = http.NewResponseController(c.w).SetWriteDeadline(t)
}

// writeHead passes on the head of an upstream's response, once for each request. From then on the
// caller must read: one that does not would keep the request's slot after its deadline.
func (c *call) writeHead(x *forwarder.Exchange) {
	c.setWriteDeadline(c.deadline.Add(_lastWriteTime))
	copyHeader(c.w.Header(), x.Response.Header)
	c.status, c.headWritten, c.headWrittenAt = x.Response.StatusCode, true, time.Now()
	c.endReturningWait()
	c.w.WriteHeader(c.status)
	if c.sends == 1 && !c.returning {
		c.admitter.ObserveFirstEvent(c.headWrittenAt, c.capacity, c.headWrittenAt.Sub(c.sentAt), c.route.LatencyTarget)
	}
	if c.Meter != nil {
		c.Meter.ObserveFirstToken(c.organisation, c.headWrittenAt.Sub(c.arrivedAt))
	}
}
