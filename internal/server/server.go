package server

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/dispatcher"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/servicebalancer"
	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _identityKey is the key of the identity in gin's context.
const _identityKey = "lb-caller"

// Configuration returns the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// Dispatcher gives requests a slot in a replica.
type Dispatcher interface {
	Acquire(ctx context.Context, q scheduler.Request) (*dispatcher.Slot, error)
}

// Streamer sends one attempt of a chat request to a replica, and passes the pieces
// of the completion that follow those already counted in p to sink.
type Streamer interface {
	Run(ctx context.Context, r *wire.Replica, q engineclient.ChatRequest, l streamer.Limits, p *streamer.Progress, sink func(streamer.Piece) error) error
}

// Meter records the metrics of requests.
type Meter interface {
	// CountRequest counts a request by its outcome; organisation is empty if the
	// request was not authenticated.
	CountRequest(organisation, outcome string)
	// CountRefusal counts a refusal by the code of its problem.
	CountRefusal(code string)
	// ObserveFirstToken records the time to the first token of a streamed completion.
	ObserveFirstToken(organisation string, after time.Duration)
}

// Server serves callers. Set the fields before calling Handler, and don't change
// them after.
type Server struct {
	Configuration Configuration
	Dispatcher    Dispatcher
	Streamer      Streamer
	ServiceClient ServiceClient
	Recorder      Recorder
	// ServicePoller tells which upstreams of services are leaving; nil means none.
	ServicePoller ServicePoller
	Log           logger.Logger
	Meter         Meter  // may be nil
	Process       string // name of this process
	DataCentre    string // data centre of this process
	MaxBodyBytes  int64
	// ReadLimit bounds the time for reading a request's body; 0 means no limit.
	ReadLimit time.Duration
	// WriteLimit bounds the time for writing one event of a streamed completion to
	// the caller; 0 means no limit.
	WriteLimit time.Duration

	draining atomic.Bool
	settler  settler
	balancer servicebalancer.Balancer
}

// identity is a request's id and the organisation that sent it, which is empty
// until the request is authenticated.
type identity struct {
	request      string
	organisation string
}

// Handler returns the handler of the API.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.HandleMethodNotAllowed = true
	e.Use(gin.CustomRecoveryWithWriter(nil, s.handlePanic), s.measure, s.settleable, s.identify)
	e.POST("/v1/chat/completions", s.handleChat)
	e.GET("/v1/models", s.handleModels)
	e.Any("/services/:name/*path", s.handleService)
	e.NoRoute(func(c *gin.Context) {
		s.refuse(c, &responder.Problem{
			Status: http.StatusNotFound, Code: "unknown-path", Message: "there is nothing at " + c.Request.URL.Path,
			Outcome: responder.NotRun, Remedy: "use /v1/chat/completions, /v1/models or /services/NAME/...",
		})
	})
	e.NoMethod(func(c *gin.Context) {
		s.refuse(c, &responder.Problem{
			Status: http.StatusMethodNotAllowed, Code: "unknown-method", Message: c.Request.Method + " is not supported here",
			Outcome: responder.NotRun, Remedy: "use POST /v1/chat/completions or GET /v1/models",
		})
	})
	return e
}

// handlePanic logs a handler's panic and refuses the request. It passes on
// http.ErrAbortHandler, with which net/http closes the connection.
func (s *Server) handlePanic(c *gin.Context, cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	s.Log.Warn("panic", logger.Fields{"path": c.Request.URL.Path, "why": cause})
	s.refuse(c, &responder.Problem{
		Status: http.StatusInternalServerError, Code: "internal", Message: "the entry failed while handling the request",
		Outcome: responder.Unknown, Remedy: "report the request id to the operators",
	})
}

// identify gives the request an id and finds its organisation by the API key. It
// refuses requests without a known key, and all requests while draining.
func (s *Server) identify(c *gin.Context) {
	id := identity{request: uuid.NewString()}
	c.Header(HeaderRequest, id.request)
	c.Set(_identityKey, id)
	if s.draining.Load() {
		s.refuse(c, drainingProblem(responder.NotRun))
		return
	}
	organisation, ok := authenticator.Organisation(c.Request, s.Configuration.Current().Document())
	if !ok {
		s.refuse(c, s.authenticationProblem())
		return
	}
	id.organisation = organisation
	c.Set(_identityKey, id)
}

// authenticationProblem returns the refusal of a request without a known API key.
func (s *Server) authenticationProblem() *responder.Problem {
	if s.Configuration.Current().Number() == 0 {
		return &responder.Problem{
			Status: http.StatusServiceUnavailable, Code: "no-configuration", Message: "this entry has no configuration yet",
			Outcome: responder.NotRun, Remedy: "retry; if this persists, ask the operators", RetryAfter: time.Second,
		}
	}
	return &responder.Problem{
		Status: http.StatusUnauthorized, Code: "bad-key", Message: "the API key is missing or unknown",
		Outcome: responder.NotRun, Remedy: "send Authorization: Bearer KEY with a key of your organisation",
	}
}

// refuse logs, counts and writes a refusal, and ends the request.
func (s *Server) refuse(c *gin.Context, p *responder.Problem) {
	if s.draining.Load() {
		c.Header("Connection", "close")
	}
	id := identityOf(c)
	p.RequestID = id.request
	s.Log.Event("refuse", logger.Fields{
		"request": id.request, "organisation": id.organisation, "code": p.Code,
		"status": p.Status, "outcome": p.Outcome, "message": p.Message,
	})
	if s.Meter != nil {
		s.Meter.CountRefusal(p.Code)
	}
	p.Write(c.Writer)
	c.Abort()
}

// identityOf returns the identity that identify has stored, or the zero value.
func identityOf(c *gin.Context) identity {
	value, _ := c.Get(_identityKey)
	id, _ := value.(identity)
	return id
}
