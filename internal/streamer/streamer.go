package streamer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Errors of an attempt. After each of them the response can be continued by
// another replica.
var (
	// ErrRefused says that the replica did not run the attempt.
	ErrRefused = errors.New("replica refused the request")
	// ErrFull says that the replica did not run the attempt because its queue was
	// full.
	ErrFull = errors.New("replica is full")
	// ErrNotSent says that no connection to the replica was made, so it did not run
	// the attempt.
	ErrNotSent = errors.New("request was not sent")
	// ErrTruncated says that no response arrived, or that it broke off, stalled
	// or was malformed before its end marker, or reported an error.
	ErrTruncated = errors.New("response is incomplete")
	// ErrWrongAttempt says that the response belongs to another attempt or
	// generation. This attempt may run.
	ErrWrongAttempt = errors.New("response belongs to another attempt")
	// ErrUnconfirmed says that a member of the replica is missing.
	ErrUnconfirmed = errors.New("a member is missing")
)

// ErrCallerGone says that the caller stopped reading; the response is not
// continued.
var ErrCallerGone = errors.New("caller disconnected")

const (
	// _maxEventBytes is the largest size of a server-sent event of an engine.
	_maxEventBytes = 1 << 20
	// _maxHeldChunks is the largest number of chunks that wait for confirmation.
	_maxHeldChunks = 128
)

// Confirmer provides evidence that all members of a replica are ready.
type Confirmer interface {
	// Confirmed returns the latest time at which all members were seen ready;
	// zero if one is not ready.
	Confirmed(r *wire.Replica) time.Time
	// MarkActive requests evidence of the members as often as possible until
	// release is called.
	MarkActive(r *wire.Replica) (release func())
	// PresentSince returns since when all members have been present without
	// interruption.
	PresentSince(r *wire.Replica) time.Time
	// Changed returns a channel that is closed when the next evidence arrives.
	Changed() <-chan struct{}
}

// Limits holds the time limits of a stream.
type Limits struct {
	// Window is how much older than a chunk the evidence that confirms it may be.
	Window time.Duration
	// EvidenceLimit is the age at which evidence expires.
	EvidenceLimit time.Duration
	// Delay is added to every chunk, so that waiting for evidence does not make
	// tokens arrive in bursts.
	Delay time.Duration
	// IdleTimeout is the longest wait for the next chunk.
	IdleTimeout time.Duration
}

// Piece is a part of the response that may be forwarded.
type Piece struct {
	Text         string
	Tokens       int
	FinishReason string // set in the last piece, otherwise empty
}

// Progress is the part of a response that was forwarded to the caller. The zero
// value is the start.
type Progress struct {
	text     strings.Builder
	tokens   int
	finished bool
}

// Text returns the text forwarded so far.
func (p *Progress) Text() string { return p.text.String() }

// Tokens returns the number of tokens forwarded so far.
func (p *Progress) Tokens() int { return p.tokens }

// Streamer runs attempts. Create it with New. It is safe for concurrent use.
type Streamer struct {
	http      *http.Client
	confirmer Confirmer
}

// New returns a Streamer that connects over network.
func New(network networker.Network, c Confirmer) *Streamer {
	const maxIdle = 64
	t := &http.Transport{MaxResponseHeaderBytes: networker.MaxResponseHeadBytes, DialContext: network.DialContext, MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
	return &Streamer{http: &http.Client{Transport: networker.StatusTransport{Transport: t}}, confirmer: c}
}

// Close closes idle connections.
func (s *Streamer) Close() error {
	s.http.CloseIdleConnections()
	return nil
}

// heldChunk is a chunk, or the end marker, that waits for confirmation.
type heldChunk struct {
	chunk   engineclient.ChatChunk
	arrived time.Time
	end     bool
}

// Run requests the rest of a response from a replica and passes it to sink. p is the
// part that the caller already has; Run updates it. A nil error means that the
// complete response was forwarded.
func (s *Streamer) Run(ctx context.Context, r *wire.Replica, q engineclient.ChatRequest, l Limits, p *Progress, sink func(Piece) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.confirmer.MarkActive(r)()
	attempt := uuid.NewString()
	res, err := s.open(ctx, r, q, p, attempt)
	if err != nil {
		return fmt.Errorf("streamer: request a response from %s: %w", r.GetName(), err)
	}
	defer res.Body.Close()
	chunks := make(chan heldChunk, _maxHeldChunks)
	readError := make(chan error, 1)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		readError <- read(ctx, res, attempt, p.tokens, chunks)
		close(chunks)
	}()
	err = s.forward(ctx, r, l, p, chunks, sink)
	cancel()
	res.Body.Close()
	<-finished
	if err == nil && !p.finished {
		err = <-readError
	}
	if err != nil {
		return fmt.Errorf("streamer: forward the response of %s: %w", r.GetName(), err)
	}
	return nil
}

// read parses events up to the end marker, checks that they belong to this
// attempt and are in order, and sends them to out. next is the index of the first
// token expected; earlier ones are skipped.
func read(ctx context.Context, res *http.Response, attempt string, next int, out chan<- heldChunk) error {
	for event, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: _maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		h := heldChunk{arrived: time.Now(), end: event.Data == "[DONE]"}
		if !h.end {
			if err := json.Unmarshal([]byte(event.Data), &h.chunk); err != nil {
				return fmt.Errorf("%w: %w", ErrTruncated, err)
			}
			if h.chunk.ID != attempt {
				return ErrWrongAttempt
			}
			if h.chunk.Index < next {
				continue
			}
			if h.chunk.Index > next {
				return fmt.Errorf("%w: token %d is missing", ErrTruncated, next)
			}
			next += max(1, h.chunk.Tokens)
		}
		select {
		case out <- h:
		case <-ctx.Done():
			return ctx.Err()
		}
		if h.end {
			return nil
		}
	}
	return ErrTruncated
}

// forward passes confirmed chunks to sink. It returns nil at the end marker, and
// when chunks is closed before it.
func (s *Streamer) forward(ctx context.Context, r *wire.Replica, l Limits, p *Progress, chunks <-chan heldChunk, sink func(Piece) error) error {
	for {
		h, ok, err := s.next(ctx, r, l, chunks)
		if err != nil || !ok {
			return err
		}
		if err := s.confirm(ctx, r, l, h); err != nil {
			return err
		}
		if h.end {
			p.finished = true
			return nil
		}
		piece := pieceOf(h.chunk)
		if err := sink(piece); err != nil {
			return fmt.Errorf("%w: %w", ErrCallerGone, err)
		}
		p.text.WriteString(piece.Text)
		p.tokens += piece.Tokens
	}
}

// next waits for the next chunk. It returns false when chunks is closed, and an
// error once the evidence of the replica has expired.
func (s *Streamer) next(ctx context.Context, r *wire.Replica, l Limits, chunks <-chan heldChunk) (heldChunk, bool, error) {
	idle := time.NewTimer(l.IdleTimeout)
	defer idle.Stop()
	for {
		changed := s.confirmer.Changed()
		select {
		case h, ok := <-chunks:
			return h, ok, nil
		case <-idle.C:
			return heldChunk{}, false, fmt.Errorf("%w: no chunk for %s", ErrTruncated, l.IdleTimeout)
		case <-ctx.Done():
			return heldChunk{}, false, fmt.Errorf("%w: %w", ErrCallerGone, context.Cause(ctx))
		case <-changed:
			if s.isEvidenceExpired(r, l) {
				return heldChunk{}, false, ErrUnconfirmed
			}
		}
	}
}

// confirm waits until the chunk may be forwarded.
func (s *Streamer) confirm(ctx context.Context, r *wire.Replica, l Limits, h heldChunk) error {
	due := time.NewTimer(time.Until(h.arrived.Add(l.Delay)))
	defer due.Stop()
	select {
	case <-due.C:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrCallerGone, context.Cause(ctx))
	}
	for {
		changed := s.confirmer.Changed()
		if s.isEvidenceExpired(r, l) || s.confirmer.PresentSince(r).After(h.arrived) {
			return ErrUnconfirmed
		}
		if !s.confirmer.Confirmed(r).Before(h.arrived.Add(-l.Window)) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrCallerGone, context.Cause(ctx))
		}
	}
}

// isEvidenceExpired reports whether a member is not ready, or all members were last
// seen ready longer ago than l.EvidenceLimit.
func (s *Streamer) isEvidenceExpired(r *wire.Replica, l Limits) bool {
	c := s.confirmer.Confirmed(r)
	return c.IsZero() || time.Since(c) > l.EvidenceLimit
}

// pieceOf returns the part of the response that a chunk contains. A chunk counts as
// at least one token.
func pieceOf(c engineclient.ChatChunk) Piece {
	if len(c.Choices) == 0 {
		return Piece{Tokens: max(1, c.Tokens)}
	}
	p := Piece{Text: c.Choices[0].Delta.Content, Tokens: max(1, c.Tokens)}
	if c.Choices[0].FinishReason != nil {
		p.FinishReason = *c.Choices[0].FinishReason
	}
	return p
}
