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

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/servicebalancer"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _maxUpstreamTries bounds how many upstreams are tried for one call.
const _maxUpstreamTries = 3

// Errors of a call that was sent to no upstream.
var (
	errNoUpstream  = errors.New("server: every upstream of the service is draining")
	errClaimTooOld = errors.New("server: the claim of the call was too old to send it, perhaps after a pause of the process")
)

// ServiceClient sends calls to the upstreams of plain services.
type ServiceClient interface {
	Send(ctx context.Context, c serviceclient.Call) (serviceclient.Result, error)
}

// ServicePoller tells which upstreams of services are leaving, that is, take no
// new calls because they are about to shut down.
type ServicePoller interface {
	// Leaving reports whether the upstream at address, a host:port, has announced
	// that it is leaving.
	Leaving(address string) bool
}

// serviceCall is a call and the service that it is sent to.
type serviceCall struct {
	serviceclient.Call
	name    string
	service validator.Service
	// sendable reports, right before each attempt, whether the call may still be
	// sent; nil means always.
	sendable func() bool
}

// handleService handles /services/NAME/....
func (s *Server) handleService(c *gin.Context) {
	call, problem := s.readCall(c)
	if problem != nil {
		s.refuse(c, problem)
		return
	}
	key := c.GetHeader(HeaderIdempotencyKey)
	if key != "" && call.service.Unrepeatable {
		s.handleKeyedCall(c, key, call)
		return
	}
	ctx := c.Request.Context()
	if call.service.Unrepeatable {
		// The call continues when its caller hangs up, so that it isn't cut off
		// half-way.
		var release func() bool
		ctx, release = s.settler.attach(context.WithoutCancel(ctx))
		defer release()
	}
	ctx, cancel := context.WithTimeout(ctx, call.service.Timeout())
	defer cancel()
	result, err := s.sendCall(ctx, c, call)
	s.respond(c, result, err)
}

// readCall finds the service by its name and reads the call from the request.
func (s *Server) readCall(c *gin.Context) (serviceCall, *responder.Problem) {
	name := c.Param("name")
	v, ok := s.Configuration.Current().Document().Services[name]
	if !ok || len(v.Organisations) > 0 && !slices.Contains(v.Organisations, identityOf(c).organisation) {
		return serviceCall{}, &responder.Problem{
			Status: http.StatusNotFound, Code: "unknown-service", Message: fmt.Sprintf("no service %q is offered to your organisation", name),
			Outcome: responder.NotRun, Remedy: "ask the operators for the name of the service",
		}
	}
	if len(c.GetHeader(HeaderIdempotencyKey)) > _maxKeyBytes {
		return serviceCall{}, &responder.Problem{
			Status: http.StatusBadRequest, Code: "bad-key-length", Message: HeaderIdempotencyKey + " is over 255 bytes",
			Outcome: responder.NotRun, Remedy: "send a key of 255 bytes or fewer, such as a UUID",
		}
	}
	body, problem := s.readBody(c)
	if problem != nil {
		return serviceCall{}, problem
	}
	call := serviceCall{name: name, service: v}
	call.Method, call.Path, call.Body = c.Request.Method, escapedPath(c), body
	call.Header = serviceclient.EndToEnd(c.Request.Header)
	// The caller's API key is for this system only.
	call.Header.Del("Authorization")
	setForwardedHeaders(call.Header, c)
	return call, nil
}

// escapedPath returns the path after the service's name with the query, escaped
// as the caller sent it.
func escapedPath(c *gin.Context) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(c.Request.URL.EscapedPath(), "/services/"), "/")
	path = "/" + path
	if q := c.Request.URL.RawQuery; q != "" {
		path += "?" + q
	}
	return path
}

// sendCall sends the call to an upstream. When that fails, it tries another one
// if canRetry permits. The outcome is that of all attempts together.
func (s *Server) sendCall(ctx context.Context, c *gin.Context, call serviceCall) (serviceclient.Result, error) {
	result, err := serviceclient.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, errNoUpstream
	tried := make(map[string]bool)
	var unclear error // of an attempt that may have run
	for range _maxUpstreamTries {
		choice, ok := s.balancer.Choose(time.Now(), s.DataCentre, s.upstreamsOf(call.service), tried)
		if !ok {
			break
		}
		address := choice.Upstream.Address
		s.Log.Event("call-route", logger.Fields{
			"request": identityOf(c).request, "organisation": identityOf(c).organisation, "service": call.name,
			"upstream": choice.Upstream.Name, "address": address, "reason": choice.Reason, "tried": len(tried),
		})
		if call.sendable != nil && !call.sendable() {
			s.balancer.Done(time.Now(), address, false)
			result, err = serviceclient.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, errClaimTooOld
			break
		}
		call.Address = address
		result, err = s.ServiceClient.Send(ctx, call.Call)
		s.balancer.Done(time.Now(), address, errors.Is(err, serviceclient.ErrNotSent))
		if err == nil || ctx.Err() != nil || !call.canRetry(err) {
			break
		}
		tried[address] = true
		if result.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
			unclear = err
		}
	}
	if unclear != nil && result.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		// The last upstream's own refusal would say that the call did not run.
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, unclear
	}
	return result, err
}

// canRetry reports whether the call may be sent again after err: it was not sent,
// or may run twice because the service is repeatable and the method idempotent.
func (c serviceCall) canRetry(err error) bool {
	if errors.Is(err, serviceclient.ErrNotSent) {
		return true
	}
	idempotent := []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}
	return !c.service.Unrepeatable && slices.Contains(idempotent, c.Method)
}

// upstreamsOf returns the service's upstreams, sorted by name. An upstream is
// draining if an operator drains its instance or it announced that it is leaving.
func (s *Server) upstreamsOf(v validator.Service) []servicebalancer.Upstream {
	instances := s.Configuration.Current().Document().Instances
	out := make([]servicebalancer.Upstream, 0, len(v.Upstreams))
	for _, n := range slices.Sorted(maps.Keys(v.Upstreams)) {
		u := v.Upstreams[n]
		out = append(out, servicebalancer.Upstream{
			Name: n, Address: u.Address, DataCentre: u.DataCentre,
			Draining: instances[n].Draining || s.ServicePoller != nil && s.ServicePoller.Leaving(u.Address),
		})
	}
	return out
}

// respond logs the result of a call and writes the response: the service's own,
// or a refusal that says whether the call may have run.
func (s *Server) respond(c *gin.Context, r serviceclient.Result, err error) {
	o := responderOutcome(r.Outcome)
	s.Log.Event("call", logger.Fields{
		"request": identityOf(c).request, "organisation": identityOf(c).organisation, "outcome": o, "status": r.Status, "error": err,
	})
	if err == nil && r.Status != 0 {
		writeServiceResponse(c, r, o)
		return
	}
	p := &responder.Problem{
		Status: http.StatusServiceUnavailable, Code: "service-unavailable", Message: "no upstream of the service ran the call",
		Outcome: o, Remedy: "send the call again, with the same key if it has one", RetryAfter: 2 * time.Second,
	}
	if errors.Is(err, errNoUpstream) {
		p.Code, p.Message, p.RetryAfter = "no-upstream", "every upstream of the service is draining", 5*time.Second
	}
	if o != responder.NotRun {
		p.Status, p.Code, p.RetryAfter = http.StatusBadGateway, "outcome-unknown", 0
		p.Message = "it is not known whether the call ran"
		p.Remedy = "look the call up at the service before sending it under a new key"
	}
	s.refuse(c, p)
}

// writeServiceResponse passes a service's own response on, without the Lb-
// headers that it may have set.
func writeServiceResponse(c *gin.Context, r serviceclient.Result, o responder.Outcome) {
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

// responderOutcome returns the outcome in the form that responses to callers carry.
func responderOutcome(o wire.Outcome) responder.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_RAN:
		return responder.Ran
	case wire.Outcome_OUTCOME_NOT_RUN:
		return responder.NotRun
	default:
		return responder.Unknown
	}
}
