package server

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/responder"
)

// _settlementKey is the key of the request's settlement in gin's context.
const _settlementKey = "lb-settlement"

// errSettled is the cause with which a shutdown cancels the context of a request.
var errSettled = errors.New("server: shutdown reached its limit before a response began")

// settler cancels the contexts of open requests at the limit of a shutdown. The zero value
// is ready for use. It is safe for concurrent use.
type settler struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

// settled returns the context that ends when open requests are settled.
func (s *settler) settled() context.Context {
	s.once.Do(func() { s.ctx, s.cancel = context.WithCancel(context.Background()) })
	return s.ctx
}

// settle cancels the contexts of the open requests.
func (s *settler) settle() {
	s.settled()
	s.cancel()
}

// attach returns a context that is cancelled with errSettled when open requests are
// settled. release returns false if it was, and otherwise detaches the context.
func (s *settler) attach(ctx context.Context) (attached context.Context, release func() bool) {
	attached, cancel := context.WithCancelCause(ctx)
	return attached, context.AfterFunc(s.settled(), func() { cancel(errSettled) })
}

// Drain makes the server refuse new requests from now on; requests in flight
// continue.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether new requests are refused.
func (s *Server) Draining() bool { return s.draining.Load() }

// Settle waits for the end of ctx. Then it makes the requests whose responses have not begun
// end with a final response, so that a shutdown does not cut them off without one.
func (s *Server) Settle(ctx context.Context) {
	<-ctx.Done()
	s.settler.settle()
}

// settleable lets Settle end the request.
func (s *Server) settleable(c *gin.Context) {
	ctx, release := s.settler.attach(c.Request.Context())
	defer release()
	c.Request = c.Request.WithContext(ctx)
	c.Set(_settlementKey, release)
	c.Next()
}

// beginStream makes sure that Settle does not end the request any more. It returns false if
// Settle has ended it.
func beginStream(c *gin.Context) bool {
	value, _ := c.Get(_settlementKey)
	release, ok := value.(func() bool)
	return !ok || release()
}

// isSettled reports whether Settle has ended the request with this context.
func isSettled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSettled) }

// drainingProblem returns the refusal of a request that a shutdown ends.
func drainingProblem(o responder.Outcome) *responder.Problem {
	p := &responder.Problem{
		Status: http.StatusServiceUnavailable, Code: "draining", Message: "this entry is shutting down",
		Outcome: o, Remedy: "send the request again; another entry will handle it", RetryAfter: time.Second,
	}
	if o != responder.NotRun {
		p.Status, p.Message = http.StatusBadGateway, "this entry shut down before the response began"
	}
	return p
}
