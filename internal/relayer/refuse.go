package relayer

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
)

// refuse responds that the request has not run and never will, and says after what
// time the caller should retry.
func (c *call) refuse(status int, reason string) { c.refuseFor(status, reason, c.retryAfter()) }

// refuseFor is refuse for a caller who should retry after the given time.
func (c *call) refuseFor(status int, reason string, after time.Duration) {
	c.Protocol.Refuse(c.w.Header(), c.request.ID, after)
	if c.Meter != nil {
		c.Meter.CountRefusal(reason)
	}
	c.respond(status, reason)
}

// retryAfter returns the time after which a refused caller should retry.
func (c *call) retryAfter() time.Duration {
	left := c.timeout()
	if !c.deadline.IsZero() {
		left = time.Until(c.deadline)
	}
	return admitter.RetryAfter(left, rand.Float64())
}

// fail responds with an error that does not say whether the request has run. Errors of the
// caller count as refusals.
func (c *call) fail(status int, reason string) {
	if status < http.StatusInternalServerError && c.Meter != nil {
		c.Meter.CountRefusal(reason)
	}
	c.respond(status, reason)
}

// respond sends a response with the reason as its body.
func (c *call) respond(status int, reason string) {
	c.status, c.outcome = status, reason
	c.headWritten = true
	c.beginResponse()
	c.boundDiscard()
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, "lycheebarrow: "+reason+"\n")
}
