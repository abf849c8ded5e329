package server

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// HeaderIdempotencyKey carries the key that the caller chose for a call, the
	// same for each retry.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRememberedUntil is the time, in RFC 3339, until which the outcome of a
	// call is kept for its key.
	HeaderRememberedUntil = "Lb-Remembered-Until"
	// HeaderReplayed says that the response is the recorded one of an earlier call
	// with the same key.
	HeaderReplayed = "Lb-Replayed"
)

const (
	// _maxKeyBytes bounds the length of an idempotency key.
	_maxKeyBytes = 255
	// _maxReplayWait is the longest wait for the outcome of a call that another
	// request with the same key started.
	_maxReplayWait = 15 * time.Second
	// _ownerGrace is the grace period after a call's timeout in which the request
	// that owns the record may store the outcome.
	_ownerGrace = 5 * time.Second
	// _maxRecordedBodyBytes bounds the response body that is kept in a record.
	_maxRecordedBodyBytes = 64 << 10
	// _maxRecordedHeaderBytes bounds the response headers that are kept in a
	// record, names and values together.
	_maxRecordedHeaderBytes = 8 << 10
)

// Recorder keeps the records of calls to unrepeatable services.
type Recorder interface {
	// Begin claims the record of a call, or returns the one that exists.
	Begin(ctx context.Context, record *wire.CallRecord, retention time.Duration) (*recorder.Claim, error)
	// Wait returns the record once it has an outcome, or as it is when ctx ends.
	Wait(ctx context.Context, c *recorder.Claim) *wire.CallRecord
	// Finish stores the outcome in the background.
	Finish(c *recorder.Claim, record *wire.CallRecord)
}

// handleKeyedCall runs a call at most once for its idempotency key. A request
// whose key has a record already gets the recorded outcome.
func (s *Server) handleKeyedCall(c *gin.Context, key string, call serviceCall) {
	record := &wire.CallRecord{
		Key: key, Organisation: identityOf(c).organisation, Service: call.name, Owner: s.Process + "/" + identityOf(c).request,
		BodySha256: authenticator.Digest(call.Method + " " + call.Path + "\n" + string(call.Body)),
	}
	retention := s.Configuration.Current().Document().Policy.Retention()
	claim, err := s.Recorder.Begin(c.Request.Context(), record, retention)
	if err != nil {
		s.refuse(c, beginProblem(err))
		return
	}
	c.Header(HeaderRememberedUntil, time.UnixMilli(claim.Record().GetExpiresUnixMs()).UTC().Format(time.RFC3339))
	if !claim.IsOwner() {
		s.replay(c, claim, call.service.Timeout())
		return
	}
	// The call continues when its caller hangs up, so that its outcome becomes
	// known.
	ctx, release := s.settler.attach(context.WithoutCancel(c.Request.Context()))
	defer release()
	ctx, cancel := context.WithTimeout(ctx, call.service.Timeout())
	defer cancel()
	call.sendable = func() bool { return claim.Sendable(time.Now()) }
	result, err := s.sendCall(ctx, c, call)
	recordResult(record, result)
	s.Recorder.Finish(claim, record)
	s.respond(c, result, err)
}

// beginProblem returns the refusal for a failed Recorder.Begin.
func beginProblem(err error) *responder.Problem {
	p := &responder.Problem{Status: http.StatusBadRequest, Outcome: responder.NotRun}
	switch {
	case errors.Is(err, recorder.ErrDifferentCall):
		p.Status, p.Code = http.StatusUnprocessableEntity, "key-reused"
		p.Message = "the key was used for a call with another method, path or body"
		p.Remedy = "use a new key for a new call"
	case errors.Is(err, recorder.ErrKeyExpired):
		p.Code, p.Message = "key-expired", "the time in the key is before the period for which calls are remembered"
		p.Remedy = "look the call up at the service; if it did not run, send it under a new key"
	case errors.Is(err, recorder.ErrKeyInFuture):
		p.Code, p.Message = "key-from-future", "the time in the key is in the future"
		p.Remedy = "correct the caller's clock and send the call under a new key"
	default:
		p.Status, p.Code = http.StatusServiceUnavailable, "records-unavailable"
		p.Message = "the call's record can't be created now: " + err.Error()
		p.Remedy, p.RetryAfter = "send the call again with the same key", 2*time.Second
	}
	return p
}

// replay responds with the recorded outcome of an earlier call with the same key.
// It waits for the outcome while that call may still be running.
func (s *Server) replay(c *gin.Context, claim *recorder.Claim, timeout time.Duration) {
	deadline := time.UnixMilli(claim.Record().GetCreatedUnixMs()).Add(timeout + _ownerGrace)
	wait := min(time.Until(deadline), _maxReplayWait)
	ctx, cancel := context.WithTimeout(c.Request.Context(), wait)
	defer cancel()
	r := s.Recorder.Wait(ctx, claim)
	if r.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED && time.Now().Before(deadline) {
		s.refuse(c, &responder.Problem{
			Status: http.StatusConflict, Code: "call-in-progress", Message: "an earlier call with this key has no outcome yet",
			Outcome: responder.Unknown, Remedy: "send the same call with the same key again to learn its outcome", RetryAfter: time.Second,
		})
		return
	}
	c.Header(HeaderReplayed, "true")
	if r.GetOutcome() == wire.Outcome_OUTCOME_RAN && r.GetAnswerDropped() {
		s.refuse(c, &responder.Problem{
			Status: http.StatusBadGateway, Code: "answer-not-kept", Message: "the call ran, but its response was too large to keep",
			Outcome: responder.Ran, Remedy: "look the call up at the service",
		})
		return
	}
	s.respond(c, recordedResult(r), nil)
}

// recordResult copies the result of a call into its record. A response body that
// is too large is dropped, with its headers.
func recordResult(record *wire.CallRecord, r serviceclient.Result) {
	record.Outcome, record.Status = r.Outcome, uint32(r.Status)
	if r.Outcome != wire.Outcome_OUTCOME_RAN {
		return
	}
	record.AnswerDropped = len(r.Body) > _maxRecordedBodyBytes
	if record.AnswerDropped {
		return
	}
	record.Body = r.Body
	record.Headers = headersToRecord(r.Header)
}

// headersToRecord returns the response headers that fit into a record. Cookies
// are left out, since they are for the first caller only.
func headersToRecord(h http.Header) []*wire.HeaderField {
	var out []*wire.HeaderField
	size := 0
	for _, n := range headerNamesToRecord(h) {
		for _, v := range h[n] {
			if size += len(n) + len(v); size > _maxRecordedHeaderBytes {
				return out
			}
			out = append(out, &wire.HeaderField{Name: n, Value: v})
		}
	}
	return out
}

// headerNamesToRecord returns the names of the headers to keep. The headers that
// callers act on come first, so that they fit into the record.
func headerNamesToRecord(h http.Header) []string {
	first := []string{"Content-Type", "Content-Encoding", "Location"}
	skipped := append([]string{"Set-Cookie", "Date"}, first...)
	names := slices.Clone(first)
	for n := range h {
		if !slices.Contains(skipped, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names[len(first):])
	return names
}

// recordedResult returns the result that is kept in a record.
func recordedResult(r *wire.CallRecord) serviceclient.Result {
	out := serviceclient.Result{Outcome: r.GetOutcome(), Body: r.GetBody(), Header: make(http.Header)}
	if r.GetOutcome() != wire.Outcome_OUTCOME_RAN {
		return out
	}
	out.Status = int(r.GetStatus())
	for _, f := range r.GetHeaders() {
		out.Header.Add(f.GetName(), f.GetValue())
	}
	return out
}
