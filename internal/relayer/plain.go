package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
)

// _maxPlain is the largest answer of a plain service, in bytes. It is read
// whole before any of it is passed on, so that a broken one can be replaced.
const _maxPlain = 8 << 20

// plain relays a request whose answer is one body.
func (c *call) plain() {
	reason := "no-upstream"
	for {
		ok, why := c.another()
		if !ok {
			if c.sends == 0 || why != "over" {
				reason = why
			}
			c.over(reason)
			return
		}
		u, full := c.choose()
		if full != "" {
			if c.sends == 0 {
				reason = string(full)
			}
			c.over(reason)
			return
		}
		done := false
		done, reason = c.plainAt(u)
		if done {
			return
		}
	}
}

// plainAt sends the request to one upstream. It returns true where the caller
// has its answer, and otherwise why not.
func (c *call) plainAt(u cataloguer.Upstream) (bool, string) {
	defer c.Balancer.Release(u.ID)
	ctx, cancel := c.sendTime()
	defer cancel()
	x, a, err := c.send(ctx, u, 0)
	if err != nil {
		c.suspect(u, err)
		return false, "upstream-failed"
	}
	defer func() { _ = x.Close() }() // a connection that can't be closed can't be used either
	c.Balancer.RecordActivity(u.ID, time.Now())
	body, err := io.ReadAll(io.LimitReader(x, _maxPlain+1))
	status := x.Response.StatusCode
	switch {
	case a.NotRun:
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			c.Balancer.MarkFull(u.ID, time.Now())
		}
		return false, "refused-by-upstream"
	case err != nil || len(body) > _maxPlain:
		c.last = errors.Join(err, errors.New("the answer is not whole"))
		return false, "answer-broken"
	case status < 300 && (!a.Signed || a.Encoded):
		c.last = errors.New("the answer is not signed")
		return false, "answer-broken"
	case status >= 500 && c.route.Kind == cataloguer.KindSafe && c.sends < c.route.Attempts:
		return false, "failed-by-upstream"
	case promises(status):
		// Its status would promise what the upstream did not say.
		return false, "failed-by-upstream"
	}
	c.pass(x, status, body)
	return true, ""
}

// sendTime bounds one send. A request that may be repeated keeps time for
// another send.
func (c *call) sendTime() (context.Context, context.CancelFunc) {
	if !c.route.Repeatable() || c.sends+1 >= c.route.Attempts {
		return context.WithCancel(c.ctx)
	}
	const part = 2
	return context.WithTimeoutCause(c.ctx, time.Until(c.deadline)/part, errSilent)
}

// pass gives an upstream's whole answer to the caller.
func (c *call) pass(x *forwarder.Exchange, status int, body []byte) {
	copyHeader(c.w.Header(), x.Response.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.status, c.outcome, c.started, c.first, c.last = status, "answered", true, time.Now(), nil
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		c.last, c.outcome = err, "caller-left"
	}
}

// suspect notes an upstream that could not be reached or fell silent.
func (c *call) suspect(u cataloguer.Upstream, err error) {
	if c.r.Context().Err() != nil {
		return
	}
	var f *forwarder.ExchangeError
	if errors.As(err, &f) && !f.Sent || errors.Is(err, errSilent) {
		c.Balancer.MarkSilent(u.ID, u.Group.Epoch, !errors.Is(err, errSilent), time.Now())
	}
}
