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
	"github.com/lycheebarrow/lycheebarrow/internal/reserver"
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

// plainResponse is the response of an upstream, read whole.
type plainResponse struct {
	status int
	header http.Header
	body   *responseBody
}

// plainFrom sends the request to one upstream. It returns true if the caller has
// received the response, and otherwise false and the reason. The slot at the upstream is free
// as soon as the response was read: the caller may take it slowly.
func (c *call) plainFrom(u cataloguer.Upstream) (bool, string) {
	response, reason := c.fetchPlain(u)
	if response == nil {
		return false, reason
	}
	defer response.body.Close()
	c.writeResponse(response)
	return true, ""
}

// fetchPlain sends the request to one upstream and releases the slot there. It returns the
// response, or nil and the reason if the caller must not get it.
func (c *call) fetchPlain(u cataloguer.Upstream) (*plainResponse, string) {
	defer c.Balancer.Release(u.ID)
	ctx, cancel := c.sendContext()
	defer cancel()
	x, a, err := c.send(ctx, u, 0)
	if err != nil {
		c.reportSilence(u, err)
		return nil, "upstream-failed"
	}
	defer func() { _ = x.Close() }() // the connection is not reused if closing fails
	c.Balancer.RecordActivity(u.ID, time.Now())
	body, err := c.readResponse(dataReader{x, &c.progress})
	status := x.Response.StatusCode
	if reason := c.plainFailure(u, status, a, err); reason != "" {
		if body != nil {
			body.Close()
		}
		return nil, reason
	}
	return &plainResponse{status: status, header: x.Response.Header, body: body}, ""
}

// plainFailure returns why the caller must not get the response of an upstream, of which err is
// the error of reading its body; an empty reason if the caller may.
func (c *call) plainFailure(u cataloguer.Upstream, status int, a Response, err error) string {
	switch {
	case a.NotRun:
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			c.Balancer.MarkFull(u.ID, time.Now())
		}
		return "refused-by-upstream"
	case err != nil:
		c.lastErr = fmt.Errorf("relayer: read the response of %s: %w", u.ID, err)
		return "answer-broken"
	case status < 300 && (!a.Signed || a.Encoded):
		c.lastErr = errors.New("relayer: upstream response has no signature or has a content encoding")
		return "answer-broken"
	case status >= 500 && c.route.Kind == cataloguer.KindSafe && c.runs < c.route.Attempts:
		return "failed-by-upstream"
	case promisesNotRun(status):
		// The caller would take the status as a promise that the request has not run,
		// which the upstream did not give.
		return "failed-by-upstream"
	}
	return ""
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
func (c *call) writeResponse(r *plainResponse) {
	copyHeader(c.w.Header(), r.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(r.body.size()))
	c.status, c.outcome, c.headWritten, c.headWrittenAt, c.lastErr = r.status, "answered", true, time.Now(), nil
	c.beginResponse()
	c.w.WriteHeader(r.status)
	err := r.body.writeTo(c.w)
	if err == nil {
		return
	}
	c.lastErr, c.outcome = err, "caller-left"
	if errors.Is(err, reserver.ErrRevoked) {
		// The deadline that ended the write would end those of the next response too.
		panic(http.ErrAbortHandler)
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
