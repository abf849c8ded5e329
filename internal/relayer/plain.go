package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
)

// relayPlain relays a request whose response is a single body.
func (c *call) relayPlain() {
	reason := "no-upstream"
	for {
		ok, why := c.canSend()
		if !ok {
			if c.sends == 0 || why != "over" {
				reason = why
			}
			c.respondUnanswered(reason)
			return
		}
		u, whyNone := c.acquireUpstream()
		if whyNone != "" {
			if c.sends == 0 {
				reason = string(whyNone)
			}
			c.respondUnanswered(reason)
			return
		}
		done := false
		done, reason = c.plainFrom(u)
		if done {
			return
		}
	}
}

// plainFrom sends the request to one upstream. It returns true if the caller has
// received the response, and otherwise false and the reason.
func (c *call) plainFrom(u cataloguer.Upstream) (bool, string) {
	defer c.Balancer.Release(u.ID)
	ctx, cancel := c.sendContext()
	defer cancel()
	x, a, err := c.send(ctx, u, 0)
	if err != nil {
		c.reportSilence(u, err)
		return false, "upstream-failed"
	}
	defer func() { _ = x.Close() }() // the connection is not reused if closing fails
	c.Balancer.RecordActivity(u.ID, time.Now())
	body, err := c.bodies.read(dataReader{x, &c.progress})
	status := x.Response.StatusCode
	switch {
	case a.NotRun:
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			c.Balancer.MarkFull(u.ID, time.Now())
		}
		return false, "refused-by-upstream"
	case err != nil:
		c.lastErr = fmt.Errorf("relayer: read the response of %s: %w", u.ID, err)
		return false, "answer-broken"
	case status < 300 && (!a.Signed || a.Encoded):
		c.lastErr = errors.New("relayer: upstream response has no signature or has a content encoding")
		return false, "answer-broken"
	case status >= 500 && c.route.Kind == cataloguer.KindSafe && c.runs < c.route.Attempts:
		return false, "failed-by-upstream"
	case promisesNotRun(status):
		// The caller would take the status as a promise that the request has not run,
		// which the upstream did not give.
		return false, "failed-by-upstream"
	}
	c.writeResponse(x, status, body)
	return true, ""
}

// sendContext returns the context of one send. If the request may be sent again, the
// context bounds the send to half of the time left, to keep time for another send.
func (c *call) sendContext() (context.Context, context.CancelFunc) {
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts || c.sends+1 >= c.maxSends() {
		return context.WithCancel(c.ctx)
	}
	const divisor = 2
	return context.WithTimeoutCause(c.ctx, time.Until(c.deadline)/divisor, errSilent)
}

// writeResponse passes on the whole response of an upstream.
func (c *call) writeResponse(x *forwarder.Exchange, status int, body []byte) {
	copyHeader(c.w.Header(), x.Response.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.status, c.outcome, c.headWritten, c.headWrittenAt, c.lastErr = status, "answered", true, time.Now(), nil
	c.beginResponse()
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		c.lastErr, c.outcome = err, "caller-left"
	}
}

// reportSilence marks an upstream as silent in the balancer if err shows that the
// upstream could not be reached or stopped sending data.
func (c *call) reportSilence(u cataloguer.Upstream, err error) {
	if c.r.Context().Err() != nil {
		return
	}
	var f *forwarder.ExchangeError
	if errors.As(err, &f) && !f.Sent || errors.Is(err, errSilent) {
		c.Balancer.MarkSilent(u.ID, u.Group.Epoch, !errors.Is(err, errSilent), time.Now())
	}
}
