package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Errors of an attempt. The answer can go on from another replica after each
// of them.
var (
	// ErrRefused says that the replica did not run the attempt.
	ErrRefused = errors.New("replica refused")
	// ErrFull says that the replica did not run the attempt because its queue
	// was full.
	ErrFull = errors.New("replica is full")
	// ErrTruncated says that the answer ended before its end marker.
	ErrTruncated = errors.New("answer was cut")
	// ErrWrongAttempt says that the answer belongs to another attempt or generation.
	ErrWrongAttempt = errors.New("answer of another attempt")
	// ErrUnconfirmed says that a member of the replica is missing.
	ErrUnconfirmed = errors.New("a member is missing")
)

// ErrCallerGone says that the caller stopped reading; nothing goes on after it.
var ErrCallerGone = errors.New("caller is gone")

const (
	// _maxEventBytes bounds one server-sent event of an engine.
	_maxEventBytes = 1 << 20
	// _heldChunks bounds the chunks that wait for confirmation.
	_heldChunks = 128
)

// Confirmer says when a replica was last seen whole.
type Confirmer interface {
	Confirmed(r *wire.Replica) time.Time
	// MarkActive asks for evidence of the members as often as it can be had, until
	// release is called.
	MarkActive(r *wire.Replica) (release func())
	// PresentSince says since when all members have been present without a gap.
	PresentSince(r *wire.Replica) time.Time
	Changed() <-chan struct{}
}

// Limits are the times that a stream keeps to.
type Limits struct {
	// Window is how much older than a chunk its evidence may be.
	Window time.Duration
	// EvidenceLimit is the age at which evidence lapses.
	EvidenceLimit time.Duration
	// Delay delays each chunk evenly, so that waiting for evidence doesn't bunch
	// the tokens.
	Delay time.Duration
	// IdleTimeout is the longest wait for the next chunk.
	IdleTimeout time.Duration
}

// Piece is a part of the answer that may be passed on.
type Piece struct {
	Text   string
	Tokens int
	FinishReason string // reason of the end, empty before it
}

// Progress is what the caller has of an answer. The zero value is the start.
type Progress struct {
	text     strings.Builder
	tokens   int
	finished bool
}

// Text returns the text passed on so far.
func (p *Progress) Text() string { return p.text.String() }

// Tokens returns the number of tokens passed on so far.
func (p *Progress) Tokens() int { return p.tokens }

// Streamer runs attempts. Make it with New. It is safe for concurrent use.
type Streamer struct {
	http      *http.Client
	confirmer Confirmer
}

// New returns a Streamer that connects over network.
func New(network networker.Network, c Confirmer) *Streamer {
	const idle = 64
	t := &http.Transport{DialContext: network.DialContext, MaxIdleConnsPerHost: idle, DisableCompression: true}
	return &Streamer{http: &http.Client{Transport: t}, confirmer: c}
}

// Close drops idle connections.
func (s *Streamer) Close() error {
	s.http.CloseIdleConnections()
	return nil
}

// held is a chunk that waits for confirmation.
type held struct {
	chunk   engineclient.ChatChunk
	arrived time.Time
	end     bool
}

// Run generates the rest of an answer on a replica and passes it to sink.
// Progress tells what the caller already has and is kept up to date. A nil
// error means that the whole answer was passed on.
func (s *Streamer) Run(ctx context.Context, r *wire.Replica, q engineclient.ChatRequest, l Limits, p *Progress, sink func(Piece) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.confirmer.MarkActive(r)()
	attempt := uuid.NewString()
	res, err := s.open(ctx, r, q, p, attempt)
	if err != nil {
		return fmt.Errorf("streamer: open an answer at %s: %w", r.GetName(), err)
	}
	defer res.Body.Close()
	chunks := make(chan held, _heldChunks)
	broken := make(chan error, 1)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		broken <- read(ctx, res, attempt, p.tokens, chunks)
		close(chunks)
	}()
	err = s.forward(ctx, r, l, p, chunks, sink)
	cancel()
	res.Body.Close()
	<-finished
	if err == nil && !p.finished {
		err = <-broken
	}
	if err != nil {
		return fmt.Errorf("streamer: answer of %s: %w", r.GetName(), err)
	}
	return nil
}

func (s *Streamer) open(ctx context.Context, r *wire.Replica, q engineclient.ChatRequest, p *Progress, attempt string) (*http.Response, error) {
	q.Stream = true
	if p.tokens > 0 {
		q.Resume = &engineclient.Resume{Text: p.Text(), Tokens: p.tokens}
	}
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.GetAddresses()[0]+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	generation := strconv.FormatUint(r.GetGeneration(), 10)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engineclient.HeaderAttempt, attempt)
	req.Header.Set(engineclient.HeaderReplica, r.GetName())
	req.Header.Set(engineclient.HeaderGeneration, generation)
	res, err := s.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if res.StatusCode == http.StatusTooManyRequests {
		res.Body.Close()
		return nil, ErrFull
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("status %d: %w", res.StatusCode, ErrRefused)
	}
	h := res.Header
	if h.Get(engineclient.HeaderAttempt) != attempt || h.Get(engineclient.HeaderReplica) != r.GetName() || h.Get(engineclient.HeaderGeneration) != generation {
		res.Body.Close()
		return nil, ErrWrongAttempt
	}
	return res, nil
}

// read parses events until the end marker, checks that they are this attempt's
// and in order, and hands them on.
func read(ctx context.Context, res *http.Response, attempt string, next int, out chan<- held) error {
	for event, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: _maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		h := held{arrived: time.Now(), end: event.Data == "[DONE]"}
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

// forward passes confirmed chunks on. It returns nil where chunks ended.
func (s *Streamer) forward(ctx context.Context, r *wire.Replica, l Limits, p *Progress, chunks <-chan held, sink func(Piece) error) error {
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

// next waits for a chunk while the replica stays whole.
func (s *Streamer) next(ctx context.Context, r *wire.Replica, l Limits, chunks <-chan held) (held, bool, error) {
	silence := time.NewTimer(l.IdleTimeout)
	defer silence.Stop()
	for {
		changed := s.confirmer.Changed()
		select {
		case h, ok := <-chunks:
			return h, ok, nil
		case <-silence.C:
			return held{}, false, fmt.Errorf("%w: silent for %s", ErrTruncated, l.IdleTimeout)
		case <-ctx.Done():
			return held{}, false, fmt.Errorf("%w: %w", ErrCallerGone, context.Cause(ctx))
		case <-changed:
			if s.lapsed(r, l) {
				return held{}, false, ErrUnconfirmed
			}
		}
	}
}

// confirm waits until the chunk may be passed on.
func (s *Streamer) confirm(ctx context.Context, r *wire.Replica, l Limits, h held) error {
	due := time.NewTimer(time.Until(h.arrived.Add(l.Delay)))
	defer due.Stop()
	select {
	case <-due.C:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrCallerGone, context.Cause(ctx))
	}
	for {
		changed := s.confirmer.Changed()
		if s.lapsed(r, l) || s.confirmer.PresentSince(r).After(h.arrived) {
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

func (s *Streamer) lapsed(r *wire.Replica, l Limits) bool {
	c := s.confirmer.Confirmed(r)
	return c.IsZero() || time.Since(c) > l.EvidenceLimit
}

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
