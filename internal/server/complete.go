package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/responder"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
)

const (
	// _idleTimeout is the longest wait for an engine's next token.
	_idleTimeout = 10 * time.Second
	// _resumeTimeout is how long an interrupted completion waits for a slot in a
	// replica that resumes it.
	_resumeTimeout = 30 * time.Second
	// _otherReplicaTimeout is how long an interrupted completion waits for a
	// replica on which no attempt has broken, before any replica will do.
	_otherReplicaTimeout = time.Second
	// _maxAttemptsWithoutProgress bounds the consecutive attempts that deliver no
	// further token.
	_maxAttemptsWithoutProgress = 8
)

// completeChat writes a whole chat completion to w. When an attempt breaks, the
// next one resumes the completion after the tokens that were delivered, on
// another replica if need be.
func (s *Server) completeChat(c *gin.Context, q engineclient.ChatRequest, w chatWriter) *responder.Problem {
	ctx := c.Request.Context()
	started := time.Now()
	policy := s.Configuration.Current().Document().Policy
	request := scheduler.Request{
		ID: identityOf(c).request, Organisation: identityOf(c).organisation, Model: q.Model, MaxTokens: q.MaxTokens,
		Tried: make(map[router.Key]bool), Arrived: time.Now(),
	}
	limits := streamer.Limits{
		Window: policy.UnconfirmedWindow(), EvidenceLimit: policy.EvidenceLimit(), IdleTimeout: _idleTimeout,
		Delay: max(0, policy.ProbeInterval()*3/2-policy.UnconfirmedWindow()),
	}
	var progress streamer.Progress
	var resumeDeadline time.Time // zero until an attempt breaks
	outcome := responder.NotRun
	for withoutProgress := 0; withoutProgress < _maxAttemptsWithoutProgress; withoutProgress++ {
		slot, err := s.Dispatcher.Acquire(ctx, request)
		if len(request.Tried) > 0 && errors.Is(err, scheduler.ErrNoReplica) && time.Now().Before(resumeDeadline) {
			// No other replica is free: allow those on which an attempt broke.
			request.Tried = make(map[router.Key]bool)
			request.Deadline = resumeDeadline
			continue
		}
		if err != nil && isSettled(ctx) {
			return drainingProblem(outcome)
		}
		if err != nil {
			if progress.Tokens() > 0 {
				outcome = responder.Ran
			}
			return s.acquireProblem(ctx, err, outcome)
		}
		replica, delivered := slot.Replica(), progress.Tokens()
		q.Priority = priority(slot.Long())
		err = s.Streamer.Run(ctx, replica, q, limits, &progress, func(piece streamer.Piece) error {
			if long := policy.LongThreshold(); !slot.Long() && progress.Tokens() < long && progress.Tokens()+piece.Tokens >= long {
				slot.ReportTokens(progress.Tokens() + piece.Tokens)
			}
			return w.writePiece(piece)
		})
		if errors.Is(err, streamer.ErrFull) {
			// The replica's queue was full and nothing ran: the request is queued
			// again, and the attempt doesn't count.
			slot.ReleaseRefused()
			withoutProgress--
			request.Requeued = true
			continue
		}
		if err == nil {
			slot.Release(progress.Tokens())
			w.finish()
			s.Log.Event("answer", logger.Fields{
				"request": request.ID, "organisation": request.Organisation, "replica": replica.GetName(),
				"tokens": progress.Tokens(), "duration_ms": time.Since(started).Milliseconds(),
			})
			return nil
		}
		slot.Release(0)
		if mayHaveRun(err) {
			outcome = responder.Unknown
		}
		if errors.Is(err, errSettled) {
			return drainingProblem(outcome)
		}
		if errors.Is(err, streamer.ErrCallerGone) {
			return &responder.Problem{Status: http.StatusBadRequest, Code: "caller-gone", Message: err.Error(), Outcome: responder.Ran}
		}
		s.Log.Failure("attempt-broken", err, logger.Fields{
			"request": request.ID, "replica": replica.GetName(), "generation": replica.GetGeneration(), "tokens": progress.Tokens(),
		})
		request.Requeued = true
		resumeDeadline = time.Now().Add(_resumeTimeout)
		request.TokensDelivered, request.Deadline = progress.Tokens(), resumeDeadline
		if !errors.Is(err, streamer.ErrUnconfirmed) {
			// A replica that lost a member takes requests again once the prober
			// has evidence that all members are there. Nothing shows when a replica
			// that failed in another way has recovered, so try others first.
			request.Tried[router.KeyOf(replica)] = true
			request.Deadline = time.Now().Add(_otherReplicaTimeout)
		}
		if progress.Tokens() > delivered {
			withoutProgress = 0
		}
	}
	return &responder.Problem{
		Status: http.StatusBadGateway, Code: "attempts-used-up", Message: "the completion broke off on every replica tried",
		Outcome: responder.Unknown, Remedy: "send the request again", RetryAfter: time.Second,
	}
}

// priority returns the priority of a request at the engine, which runs short
// requests, with priority 0, before long ones, with priority 1.
func priority(long bool) int {
	if long {
		return 1
	}
	return 0
}

// mayHaveRun reports whether a replica may have run an attempt that failed with err.
func mayHaveRun(err error) bool {
	return !errors.Is(err, streamer.ErrRefused) && !errors.Is(err, streamer.ErrNotSent)
}

// acquireProblem returns the refusal for a failed Acquire; o is the outcome of the
// attempts before.
func (s *Server) acquireProblem(ctx context.Context, err error, o responder.Outcome) *responder.Problem {
	p := &responder.Problem{
		Status: http.StatusServiceUnavailable, Code: "busy", Message: err.Error(),
		Outcome: o, Remedy: "send the request again later", RetryAfter: time.Second,
	}
	switch {
	case ctx.Err() != nil:
		p.Code, p.RetryAfter = "caller-gone", 0
	case errors.Is(err, scheduler.ErrQueueFull):
		p.Status, p.Code = http.StatusTooManyRequests, "queue-full"
	case errors.Is(err, scheduler.ErrOverloaded):
		p.Status, p.Code = http.StatusTooManyRequests, "overloaded"
	case errors.Is(err, scheduler.ErrNoReplica):
		p.Code, p.RetryAfter = "no-replica", 5*time.Second
	}
	var refused *scheduler.RefusedError
	if errors.As(err, &refused) && ctx.Err() == nil {
		p.RetryAfter = refused.RetryAfter()
	}
	if o != responder.NotRun {
		p.Status, p.Message = http.StatusBadGateway, "the completion broke off and can't be resumed: "+err.Error()
	}
	return p
}
