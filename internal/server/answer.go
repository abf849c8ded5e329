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
	// _silence is the longest wait for an engine's next token.
	_silence = 10 * time.Second
	// _resumeWait is how long a broken answer waits for a place to go on.
	_resumeWait = 30 * time.Second
	// _triedRest is how long an answer that broke looks for another replica
	// before it goes back to one that broke it.
	_triedRest = time.Second
	// _attempts bounds the attempts in a row that bring an answer no further.
	_attempts = 8
)

// answer brings the whole answer, from as many replicas as it takes.
func (s *Server) answer(c *gin.Context, q engineclient.ChatRequest, w answerWriter) *responder.Problem {
	ctx := c.Request.Context()
	begun := time.Now()
	policy := s.Configuration.Current().Document().Policy
	place := scheduler.Request{
		ID: who(c).request, Organisation: who(c).organisation, Model: q.Model, MaxTokens: q.MaxTokens,
		Tried: make(map[router.Key]bool), Arrived: time.Now(),
	}
	limits := streamer.Limits{
		Window: policy.UnconfirmedWindow(), EvidenceLimit: policy.EvidenceLimit(), IdleTimeout: _silence,
		Delay: max(0, policy.ProbeInterval()*3/2-policy.UnconfirmedWindow()),
	}
	var progress streamer.Progress
	var giveUp time.Time // zero until the answer breaks
	for idle := 0; idle < _attempts; idle++ {
		p, err := s.Dispatcher.Acquire(ctx, place)
		if len(place.Tried) > 0 && errors.Is(err, scheduler.ErrNoReplica) && time.Now().Before(giveUp) {
			// A replica that broke the answer is better than none.
			place.Tried = make(map[router.Key]bool)
			place.Deadline = giveUp
			continue
		}
		if err != nil {
			return s.unplaced(ctx, err, progress.Tokens() > 0)
		}
		r, had := p.Replica(), progress.Tokens()
		q.Priority = priority(p.Long())
		err = s.Streamer.Run(ctx, r, q, limits, &progress, func(x streamer.Piece) error {
			if long := policy.LongThreshold(); !p.Long() && progress.Tokens() < long && progress.Tokens()+x.Tokens >= long {
				p.ReportTokens(progress.Tokens() + x.Tokens)
			}
			return w.piece(x)
		})
		if errors.Is(err, streamer.ErrFull) {
			// Nothing ran: the request goes back to its turn.
			p.ReleaseRefused()
			idle--
			place.Requeued = true
			continue
		}
		if err == nil {
			p.Release(progress.Tokens())
			w.end()
			s.Log.Event("answer", logger.Fields{
				"request": place.ID, "organisation": place.Organisation, "replica": r.GetName(),
				"tokens": progress.Tokens(), "duration_ms": time.Since(begun).Milliseconds(),
			})
			return nil
		}
		p.Release(0)
		if errors.Is(err, streamer.ErrCallerGone) {
			return &responder.Problem{Status: http.StatusBadRequest, Code: "caller-gone", Message: err.Error(), Outcome: responder.Ran}
		}
		s.Log.Failure("attempt-broken", err, logger.Fields{
			"request": place.ID, "replica": r.GetName(), "generation": r.GetGeneration(), "tokens": progress.Tokens(),
		})
		place.Requeued = true
		giveUp = time.Now().Add(_resumeWait)
		place.TokensDelivered, place.Deadline = progress.Tokens(), giveUp
		if !errors.Is(err, streamer.ErrUnconfirmed) {
			// Evidence tells when a replica that lost a member is whole again;
			// nothing tells when one that breaks answers is well.
			place.Tried[router.KeyOf(r)] = true
			place.Deadline = time.Now().Add(_triedRest)
		}
		if progress.Tokens() > had {
			idle = 0
		}
	}
	return &responder.Problem{
		Status: http.StatusBadGateway, Code: "attempts-used-up", Message: "the answer broke on every replica tried",
		Outcome: responder.Unknown, Remedy: "send the request again", RetryAfter: time.Second,
	}
}

// priority orders work inside an engine: short answers first.
func priority(long bool) int {
	if long {
		return 1
	}
	return 0
}

// unplaced turns a failed Acquire into a refusal.
func (s *Server) unplaced(ctx context.Context, err error, begun bool) *responder.Problem {
	p := &responder.Problem{
		Status: http.StatusServiceUnavailable, Code: "busy", Message: err.Error(),
		Outcome: responder.NotRun, Remedy: "send the request again later", RetryAfter: time.Second,
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
	if begun {
		p.Outcome = responder.Ran
	}
	return p
}
