package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
)

// measure counts each request by its outcome, and the time to the first token
// of a streamed answer.
func (s *Server) measure(c *gin.Context) {
	if s.Meter == nil {
		return
	}
	w := &firstWriter{ResponseWriter: c.Writer, begun: time.Now()}
	c.Writer = w
	// A cut answer leaves by a panic.
	whole := false
	defer func() { s.Meter.Ended(who(c).organisation, outcome(w, whole)) }()
	c.Next()
	whole = true
	if !w.first.IsZero() && strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		s.Meter.FirstToken(who(c).organisation, w.first.Sub(w.begun))
	}
}

// outcome returns what became of a request, as its answer told the caller.
func outcome(w gin.ResponseWriter, whole bool) string {
	said := w.Header().Get(serviceclient.HeaderOutcome)
	switch {
	case !whole:
		return "cut"
	case said != "":
		return said
	default:
		return string(responder.Ran)
	}
}

// firstWriter notes when the first byte of an answer is written.
type firstWriter struct {
	gin.ResponseWriter
	begun time.Time
	first time.Time
}

// Unwrap lets http.ResponseController reach the connection.
func (w *firstWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a part of the answer.
func (w *firstWriter) Write(p []byte) (int, error) {
	if w.first.IsZero() {
		w.first = time.Now()
	}
	return w.ResponseWriter.Write(p)
}
