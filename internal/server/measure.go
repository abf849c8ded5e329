package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
)

// measure counts each request by its outcome and measures the time to the first
// token of a streamed completion.
func (s *Server) measure(c *gin.Context) {
	if s.Meter == nil {
		return
	}
	w := &firstByteWriter{ResponseWriter: c.Writer, startedAt: time.Now()}
	c.Writer = w
	// The handler of a response that is cut off panics, so that c.Next doesn't
	// return.
	completed := false
	defer func() { s.Meter.CountRequest(identityOf(c).organisation, outcomeLabel(w, completed)) }()
	c.Next()
	completed = true
	if !w.firstByteAt.IsZero() && strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		s.Meter.ObserveFirstToken(identityOf(c).organisation, w.firstByteAt.Sub(w.startedAt))
	}
}

// outcomeLabel returns the outcome in the response's headers, "ran" if there is
// none, and "cut" for a response that was cut off.
func outcomeLabel(w gin.ResponseWriter, completed bool) string {
	sent := w.Header().Get(serviceclient.HeaderOutcome)
	switch {
	case !completed:
		return "cut"
	case sent != "":
		return sent
	default:
		return string(responder.Ran)
	}
}

// firstByteWriter records when the first byte of a response is written.
type firstByteWriter struct {
	gin.ResponseWriter
	startedAt   time.Time
	firstByteAt time.Time
}

// Unwrap lets http.ResponseController reach the connection.
func (w *firstByteWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a part of the response and records the time of the first one.
func (w *firstByteWriter) Write(p []byte) (int, error) {
	if w.firstByteAt.IsZero() {
		w.firstByteAt = time.Now()
	}
	return w.ResponseWriter.Write(p)
}
