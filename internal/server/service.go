package server

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/caller"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// HeaderKey names a call that may not be repeated.
const HeaderKey = "Idempotency-Key"

// _maxKeyBytes bounds an idempotency key.
const _maxKeyBytes = 255

// service serves /services/NAME/....
func (s *Server) service(c *gin.Context) {
	name := c.Param("name")
	d := s.Configuration.Current().Document()
	v, ok := d.Services[name]
	if !ok || len(v.Organisations) > 0 && !slices.Contains(v.Organisations, who(c).organisation) {
		s.refuse(c, &responder.Problem{
			Status: http.StatusNotFound, Code: "unknown-service", Message: fmt.Sprintf("no service %q is offered to you", name),
			Outcome: responder.NotRun, Mend: "ask the operators for the name of the service",
		})
		return
	}
	key := c.GetHeader(HeaderKey)
	if len(key) > _maxKeyBytes {
		s.refuse(c, &responder.Problem{
			Status: http.StatusBadRequest, Code: "bad-key-length", Message: HeaderKey + " is over 255 bytes",
			Outcome: responder.NotRun, Mend: "send a key of 255 bytes or fewer, such as a UUID",
		})
		return
	}
	body, problem := s.readBody(c)
	if problem != nil {
		s.refuse(c, problem)
		return
	}
	call := caller.Call{
		Method: c.Request.Method, Path: c.Param("path"), Header: forwarded(c.Request.Header), Body: body,
		Address: s.upstream(d, v),
	}
	if q := c.Request.URL.RawQuery; q != "" {
		call.Path += "?" + q
	}
	if call.Address == "" {
		s.refuse(c, &responder.Problem{
			Status: http.StatusServiceUnavailable, Code: "no-upstream", Message: fmt.Sprintf("every upstream of service %q is draining", name),
			Outcome: responder.NotRun, Mend: "send the call again later", RetryAfter: 5 * time.Second,
		})
		return
	}
	if key != "" && v.Unrepeatable {
		s.keyed(c, name, key, call, v.Timeout())
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), v.Timeout())
	defer cancel()
	result, err := s.Caller.Send(ctx, call)
	s.give(c, result, err)
}

// keyed runs a call at most once for its key.
func (s *Server) keyed(c *gin.Context, service, key string, call caller.Call, timeout time.Duration) {
	ctx := c.Request.Context()
	record := &wire.CallRecord{
		Key: key, Organisation: who(c).organisation, Service: service, Owner: s.Process + "/" + who(c).request,
		BodySha256:    authenticator.Digest(call.Method + " " + call.Path + "\n" + string(call.Body)),
		CreatedUnixMs: time.Now().UnixMilli(),
	}
	claim, err := s.Recorder.Begin(ctx, record)
	if err != nil {
		s.refuse(c, beginProblem(err))
		return
	}
	if !claim.Mine() {
		s.replay(c, claim.Record())
		return
	}
	// The call goes on when its caller hangs up, so that its outcome is known.
	work, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	result, err := s.Caller.Send(work, call)
	record.Outcome, record.Status = result.Outcome, uint32(result.Status)
	record.ContentType, record.Body = result.ContentType, result.Body
	if err := s.Recorder.Finish(context.WithoutCancel(ctx), claim, record); err != nil {
		s.Log.Failure("call-outcome-lost", err, logger.Fields{"request": who(c).request})
	}
	s.give(c, result, err)
}

func beginProblem(err error) *responder.Problem {
	if errors.Is(err, recorder.ErrDifferentBody) {
		return &responder.Problem{
			Status: http.StatusUnprocessableEntity, Code: "key-reused", Message: "the key was used for a call with another method, path or body",
			Outcome: responder.NotRun, Mend: "use a new key for a new call",
		}
	}
	return &responder.Problem{
		Status: http.StatusServiceUnavailable, Code: "records-unavailable", Message: "the call's record can't be created now: " + err.Error(),
		Outcome: responder.NotRun, Mend: "send the call again with the same key", RetryAfter: 2 * time.Second,
	}
}

// replay gives the recorded outcome of an earlier call with the key.
func (s *Server) replay(c *gin.Context, r *wire.CallRecord) {
	c.Header("Lb-Replayed", "true")
	result := caller.Result{Outcome: r.GetOutcome(), Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody()}
	var err error
	if r.GetOutcome() != wire.Outcome_OUTCOME_RAN {
		err = errors.New("an earlier call with this key has no known answer")
	}
	s.give(c, result, err)
}

// give answers with the result of a call.
func (s *Server) give(c *gin.Context, r caller.Result, err error) {
	outcome := map[wire.Outcome]responder.Outcome{
		wire.Outcome_OUTCOME_RAN: responder.Ran, wire.Outcome_OUTCOME_NOT_RUN: responder.NotRun,
	}[r.Outcome]
	if outcome == "" {
		outcome = responder.Unknown
	}
	s.Log.Event("call", logger.Fields{"request": who(c).request, "organisation": who(c).organisation, "outcome": outcome, "status": r.Status, "error": err})
	if err == nil && outcome == responder.Ran {
		c.Header("Lb-Outcome", string(outcome))
		c.Data(r.Status, r.ContentType, r.Body)
		return
	}
	p := &responder.Problem{
		Status: http.StatusServiceUnavailable, Code: "service-refused", Message: "the service did not run the call",
		Outcome: outcome, Mend: "send the call again", RetryAfter: 2 * time.Second,
	}
	if outcome == responder.Unknown {
		p.Status, p.Code, p.RetryAfter = http.StatusBadGateway, "outcome-unknown", 0
		p.Message = "whether the call ran is not known"
		p.Mend = "look the call up at the service before sending it under a new key"
	}
	s.refuse(c, p)
}

// upstream chooses a server of a service: those of this data centre in turn,
// else any. It returns an empty address where all of them drain.
func (s *Server) upstream(d validator.Document, v validator.Service) string {
	var near, all []string
	for _, n := range slices.Sorted(maps.Keys(v.Upstreams)) {
		u := v.Upstreams[n]
		if d.Instances[n].Draining {
			continue
		}
		all = append(all, u.Address)
		if u.DataCentre == s.DataCentre {
			near = append(near, u.Address)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return ""
	}
	return near[s.turn.Add(1)%uint64(len(near))]
}

// forwarded returns the headers that go on to a service: not the caller's key
// of this system, and none that belong to one connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, n := range []string{"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		out.Del(n)
	}
	return out
}
