package server

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/chooser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _upstreamTries bounds the upstreams tried for one call.
const _upstreamTries = 3

// Errors of a call that no upstream was asked to run.
var (
	errNoUpstream = errors.New("server: every upstream of the service is leaving")
	errStale      = errors.New("server: the entry was paused before it could send the call")
)

// ServiceClient sends one call to a plain service.
type ServiceClient interface {
	Send(ctx context.Context, c serviceclient.Call) (serviceclient.Result, error)
}

// Surveyor tells which upstreams of services are leaving.
type Surveyor interface {
	// Leaving says that the upstream at address, a host:port, takes no new calls.
	Leaving(address string) bool
}

// serviceCall is a call with the service that it is for.
type serviceCall struct {
	serviceclient.Call
	name    string
	service validator.Service
	// sendable is asked right before each attempt; nil always permits.
	sendable func() bool
}

// service serves /services/NAME/....
func (s *Server) service(c *gin.Context) {
	call, problem := s.readCall(c)
	if problem != nil {
		s.refuse(c, problem)
		return
	}
	key := c.GetHeader(HeaderIdempotencyKey)
	if key != "" && call.service.Unrepeatable {
		s.keyed(c, key, call)
		return
	}
	ctx := c.Request.Context()
	if call.service.Unrepeatable {
		// The call goes on when its caller hangs up, so that it isn't cut midway.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, call.service.Timeout())
	defer cancel()
	result, err := s.send(ctx, c, call)
	s.give(c, result, err)
}

// readCall finds the service and reads the call to it.
func (s *Server) readCall(c *gin.Context) (serviceCall, *responder.Problem) {
	name := c.Param("name")
	v, ok := s.Configuration.Current().Document().Services[name]
	if !ok || len(v.Organisations) > 0 && !slices.Contains(v.Organisations, who(c).organisation) {
		return serviceCall{}, &responder.Problem{
			Status: http.StatusNotFound, Code: "unknown-service", Message: fmt.Sprintf("no service %q is offered to you", name),
			Outcome: responder.NotRun, Mend: "ask the operators for the name of the service",
		}
	}
	if len(c.GetHeader(HeaderIdempotencyKey)) > _maxKeyBytes {
		return serviceCall{}, &responder.Problem{
			Status: http.StatusBadRequest, Code: "bad-key-length", Message: HeaderIdempotencyKey + " is over 255 bytes",
			Outcome: responder.NotRun, Mend: "send a key of 255 bytes or fewer, such as a UUID",
		}
	}
	body, problem := s.readBody(c)
	if problem != nil {
		return serviceCall{}, problem
	}
	call := serviceCall{name: name, service: v}
	call.Method, call.Path, call.Body = c.Request.Method, escapedPath(c), body
	call.Header = serviceclient.EndToEnd(c.Request.Header)
	// The caller's key of this system is no business of the service.
	call.Header.Del("Authorization")
	forwardDetails(call.Header, c)
	return call, nil
}

// escapedPath returns the path after the service's name, as the caller wrote
// it, with the query.
func escapedPath(c *gin.Context) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(c.Request.URL.EscapedPath(), "/services/"), "/")
	path = "/" + path
	if q := c.Request.URL.RawQuery; q != "" {
		path += "?" + q
	}
	return path
}

// send sends the call to one upstream, and to another one where that can't make
// it run twice.
func (s *Server) send(ctx context.Context, c *gin.Context, call serviceCall) (serviceclient.Result, error) {
	result, err := serviceclient.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, errNoUpstream
	tried := make(map[string]bool)
	for range _upstreamTries {
		choice, ok := s.chooser.Choose(time.Now(), s.DataCentre, s.upstreams(call.service), tried)
		if !ok {
			break
		}
		at := choice.Upstream.Address
		s.Log.Event("call-route", logger.Fields{
			"request": who(c).request, "organisation": who(c).organisation, "service": call.name,
			"upstream": choice.Upstream.Name, "address": at, "reason": choice.Reason, "tried": len(tried),
		})
		if call.sendable != nil && !call.sendable() {
			s.chooser.Done(time.Now(), at, false)
			return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, errStale
		}
		call.Address = at
		result, err = s.ServiceClient.Send(ctx, call.Call)
		s.chooser.Done(time.Now(), at, errors.Is(err, serviceclient.ErrNotSent))
		if err == nil || ctx.Err() != nil || !call.repeatable(err) {
			break
		}
		tried[at] = true
	}
	return result, err
}

// repeatable says that the call may be sent again after err.
func (c serviceCall) repeatable(err error) bool {
	if errors.Is(err, serviceclient.ErrNotSent) {
		return true
	}
	idempotent := []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}
	return !c.service.Unrepeatable && slices.Contains(idempotent, c.Method)
}

// upstreams returns the service's upstreams in the order of their names. One
// that an operator drains counts as leaving.
func (s *Server) upstreams(v validator.Service) []chooser.Upstream {
	instances := s.Configuration.Current().Document().Instances
	out := make([]chooser.Upstream, 0, len(v.Upstreams))
	for _, n := range slices.Sorted(maps.Keys(v.Upstreams)) {
		u := v.Upstreams[n]
		out = append(out, chooser.Upstream{
			Name: n, Address: u.Address, DataCentre: u.DataCentre,
			Leaving: instances[n].Draining || s.Surveyor != nil && s.Surveyor.Leaving(u.Address),
		})
	}
	return out
}

// give answers with the result of a call.
func (s *Server) give(c *gin.Context, r serviceclient.Result, err error) {
	o := toldOutcome(r.Outcome)
	s.Log.Event("call", logger.Fields{
		"request": who(c).request, "organisation": who(c).organisation, "outcome": o, "status": r.Status, "error": err,
	})
	if err == nil && r.Status != 0 {
		giveAnswer(c, r, o)
		return
	}
	p := &responder.Problem{
		Status: http.StatusServiceUnavailable, Code: "service-unavailable", Message: "no upstream of the service was asked to run the call",
		Outcome: o, Mend: "send the call again, with the same key if it has one", RetryAfter: 2 * time.Second,
	}
	if errors.Is(err, errNoUpstream) {
		p.Code, p.Message, p.RetryAfter = "no-upstream", "every upstream of the service is leaving", 5*time.Second
	}
	if o != responder.NotRun {
		p.Status, p.Code, p.RetryAfter = http.StatusBadGateway, "outcome-unknown", 0
		p.Message = "whether the call ran is not known"
		p.Mend = "look the call up at the service before sending it under a new key"
	}
	s.refuse(c, p)
}

// giveAnswer passes a service's own answer on.
func giveAnswer(c *gin.Context, r serviceclient.Result, o responder.Outcome) {
	h := c.Writer.Header()
	for n, values := range r.Header {
		if !strings.HasPrefix(n, "Lb-") {
			h[n] = values
		}
	}
	h.Set("Lb-Outcome", string(o))
	c.Status(r.Status)
	c.Writer.WriteHeaderNow()
	_, _ = c.Writer.Write(r.Body)
}

func toldOutcome(o wire.Outcome) responder.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_RAN:
		return responder.Ran
	case wire.Outcome_OUTCOME_NOT_RUN:
		return responder.NotRun
	default:
		return responder.Unknown
	}
}
