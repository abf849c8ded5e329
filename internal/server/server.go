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
	"github.com/lycheebarrow/lycheebarrow/internal/chooser"
	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/dispatcher"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _requestKey is where gin's context keeps the caller.
const _requestKey = "lb-caller"

// Configuration gives the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// Dispatcher gives requests a place in a replica.
type Dispatcher interface {
	Acquire(ctx context.Context, q scheduler.Request) (*dispatcher.Place, error)
}

// Streamer brings the rest of an answer from a replica.
type Streamer interface {
	Run(ctx context.Context, r *wire.Replica, q engineclient.ChatRequest, l streamer.Limits, p *streamer.Progress, sink func(streamer.Piece) error) error
}

// Meter measures requests.
type Meter interface {
	Ended(organisation, outcome string)
	Refused(code string)
	FirstToken(organisation string, after time.Duration)
}

// Server serves callers. Set the fields before Handler; they don't change
// after.
type Server struct {
	Configuration Configuration
	Dispatcher    Dispatcher
	Streamer      Streamer
	ServiceClient ServiceClient
	Recorder      Recorder
	// Surveyor tells which upstreams of services are leaving; nil says none.
	Surveyor     Surveyor
	Log          logger.Logger
	Meter        Meter // may be nil
	Process      string
	DataCentre   string
	MaxBodyBytes int64
	// ReadLimit bounds the time for a request's body to arrive; 0 means no limit.
	ReadLimit time.Duration
	// WriteLimit bounds the time for a caller to take the next part of a streamed
	// answer; 0 means no limit.
	WriteLimit time.Duration

	draining atomic.Bool
	chooser  chooser.Chooser
}

// identity is who makes a request.
type identity struct {
	request      string
	organisation string
}

// Handler returns the callers' API.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.HandleMethodNotAllowed = true
	e.Use(gin.CustomRecoveryWithWriter(nil, s.recovered), s.measure, s.identify)
	e.POST("/v1/chat/completions", s.chat)
	e.GET("/v1/models", s.models)
	e.Any("/services/:name/*path", s.service)
	e.NoRoute(func(c *gin.Context) {
		s.refuse(c, &responder.Problem{
			Status: http.StatusNotFound, Code: "unknown-path", Message: "there is nothing at " + c.Request.URL.Path,
			Outcome: responder.NotRun, Mend: "use /v1/chat/completions, /v1/models or /services/NAME/...",
		})
	})
	e.NoMethod(func(c *gin.Context) {
		s.refuse(c, &responder.Problem{
			Status: http.StatusMethodNotAllowed, Code: "unknown-method", Message: c.Request.Method + " is not offered here",
			Outcome: responder.NotRun, Mend: "POST /v1/chat/completions, GET /v1/models",
		})
	})
	return e
}

// Drain makes the server refuse new requests from now on; those under way go
// on.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining says that new requests are refused.
func (s *Server) Draining() bool { return s.draining.Load() }

// recovered refuses a request whose handler panicked.
func (s *Server) recovered(c *gin.Context, why any) {
	if err, ok := why.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(why)
	}
	s.Log.Warn("panic", logger.Fields{"path": c.Request.URL.Path, "why": why})
	s.refuse(c, &responder.Problem{
		Status: http.StatusInternalServerError, Code: "internal", Message: "the entry failed while it handled the request",
		Outcome: responder.Unknown, Mend: "report the request id to the operators",
	})
}

// identify names the request and finds the caller's organisation.
func (s *Server) identify(c *gin.Context) {
	who := identity{request: uuid.NewString()}
	c.Header(HeaderRequest, who.request)
	c.Set(_requestKey, who)
	if s.draining.Load() {
		c.Header("Connection", "close")
		s.refuse(c, &responder.Problem{
			Status: http.StatusServiceUnavailable, Code: "draining", Message: "this entry is shutting down",
			Outcome: responder.NotRun, Mend: "send the request again; another entry takes it", RetryAfter: time.Second,
		})
		return
	}
	organisation, ok := authenticator.Organisation(c.Request, s.Configuration.Current().Document())
	if !ok {
		s.refuse(c, s.unidentified())
		return
	}
	who.organisation = organisation
	c.Set(_requestKey, who)
}

func (s *Server) unidentified() *responder.Problem {
	if s.Configuration.Current().Number() == 0 {
		return &responder.Problem{
			Status: http.StatusServiceUnavailable, Code: "no-configuration", Message: "this entry has no configuration yet",
			Outcome: responder.NotRun, Mend: "retry; if it goes on, ask the operators", RetryAfter: time.Second,
		}
	}
	return &responder.Problem{
		Status: http.StatusUnauthorized, Code: "bad-key", Message: "the API key is missing or unknown",
		Outcome: responder.NotRun, Mend: "send Authorization: Bearer KEY with a key of your organisation",
	}
}

func (s *Server) refuse(c *gin.Context, p *responder.Problem) {
	who := who(c)
	p.RequestID = who.request
	s.Log.Event("refuse", logger.Fields{
		"request": who.request, "organisation": who.organisation, "code": p.Code,
		"status": p.Status, "outcome": p.Outcome, "message": p.Message,
	})
	if s.Meter != nil {
		s.Meter.Refused(p.Code)
	}
	p.Write(c.Writer)
	c.Abort()
}

func who(c *gin.Context) identity {
	i, _ := c.Get(_requestKey)
	w, _ := i.(identity)
	return w
}
