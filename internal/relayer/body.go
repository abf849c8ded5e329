package relayer

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
	"github.com/lycheebarrow/lycheebarrow/internal/reserver"
)

// _discardTime is how long the rest of a refused request's body may take to arrive. The
// server reads some of it, so that the connection can be used again and the caller can read
// the refusal.
const _discardTime = time.Second

// readBody reads the body of the caller's request, of limit bytes at most. A caller may
// send it slowly, but not beyond the time that the request may take.
func (c *call) readBody(limit int64) ([]byte, error) {
	if c.r.ContentLength == 0 {
		return nil, nil
	}
	if c.r.ContentLength > limit {
		// None of it needs to be read to know.
		return nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(c.arrivedAt.Add(c.timeout())); err == nil {
		// The connection may serve other requests, whose time is their own.
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	past := time.Unix(1, 0)
	c.progress.onSettle(func() {
		c.settle()
		_ = control.SetReadDeadline(past) // an error means that the connection is closed
	})
	// Runs before the deadline is reset, which a late interrupt must not set again.
	defer c.progress.onSettle(c.settle)
	c.bodyMemory = c.Bodies.Open(c.organisation, func() { _ = control.SetReadDeadline(past) }, c.arrivedAt)
	connection := drainer.BodyOf(c.r.Context())
	c.bodyMemory.Widen(connection.WindowBytes(), connection.Widen)
	return c.bodyMemory.Read(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength)
}

// releaseBody returns the memory of the body.
func (c *call) releaseBody() {
	if c.bodyMemory != nil {
		c.bodyMemory.Close()
	}
}

// refuseBody responds to a request whose body could not be read.
func (c *call) refuseBody(err error) {
	c.lastErr = err
	c.body = nil
	c.w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case c.isSettled():
		c.refuseFor(http.StatusServiceUnavailable, "draining", _drainRetryAfter)
	case errors.Is(err, reserver.ErrFull):
		c.refuse(http.StatusServiceUnavailable, "body-memory-full")
	case errors.Is(err, reserver.ErrRevoked):
		c.refuse(http.StatusRequestTimeout, "body-stalled")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, "body-late")
	case errors.As(err, &large):
		c.lastErr = nil
		c.fail(http.StatusRequestEntityTooLarge, "body-too-large")
	default:
		c.fail(http.StatusBadRequest, "body-unread")
	}
}

// boundDiscard bounds the time in which the server reads the rest of a body that this process
// has not read. A caller who stops before its end would hold the connection otherwise.
func (c *call) boundDiscard() {
	if c.r.ContentLength == 0 || c.body != nil {
		return
	}
	// An error means that the connection has failed.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(_discardTime))
}
