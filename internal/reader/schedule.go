package reader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
)

const (
	// _staleLimit is how old the last read by any process may be.
	_staleLimit = 4500 * time.Millisecond
	// _staleJitter spreads the reads of processes that turn stale together.
	_staleJitter = time.Second
	// _ownInterval is how often a process reads the platform itself although
	// its peers keep it fresh.
	_ownInterval = 2 * time.Minute
	// _retryWait and _retryJitter are the pause after a failed read, and
	// _dutyRetryWait the pause of a process on duty.
	_retryWait     = 2 * time.Second
	_retryJitter   = time.Second
	_dutyRetryWait = 500 * time.Millisecond
	// _review is how often Wait looks again.
	_review = 250 * time.Millisecond
)

// Schedule says when this process reads one kind of object. The zero value says
// always. It is safe for concurrent use.
type Schedule struct {
	// Designated says that this process is one of its data centre's readers; nil
	// means always. Set it before use.
	Designated func() bool
	// Outage hears of failed and answered reads; nil means nobody does.
	Outage *OutageLogger
	// Seed chooses the jitter, so that processes which turn stale together
	// don't read together. Set it before use.
	Seed uint64

	mu     sync.Mutex
	latest time.Time
	own    time.Time
	jitter time.Duration
	random *rand.Rand
}

// IsDesignated says that this process is one of its data centre's readers.
func (t *Schedule) IsDesignated() bool { return t.Designated == nil || t.Designated() }

// ObserveRead takes the time at which some process sent a read that was answered.
func (t *Schedule) ObserveRead(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.latest) {
		t.latest = at
	}
}

// RecordSuccess takes the time at which this process sent a read that was answered.
func (t *Schedule) RecordSuccess(at time.Time) {
	t.ObserveRead(at)
	t.Outage.ReadAnswered(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = at
	t.jitter = t.draw(_staleJitter)
}

// BackOff pauses after a read that got no answer; those on duty try again
// sooner.
func (t *Schedule) BackOff(ctx context.Context, err error) {
	t.Outage.ReadFailed(err, time.Now())
	t.mu.Lock()
	d := _retryWait + t.draw(_retryJitter)
	t.mu.Unlock()
	if t.IsDesignated() {
		d = _dutyRetryWait
	}
	t.Sleep(ctx, d)
}

// Sleep waits for d or until ctx ends.
func (t *Schedule) Sleep(ctx context.Context, d time.Duration) {
	pauser.Pause(ctx, d)
}

// draw returns a random part of d. The caller holds the lock.
func (t *Schedule) draw(d time.Duration) time.Duration {
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(t.Seed, 3))
	}
	return time.Duration(t.random.Int64N(int64(d)))
}

// LastRead returns when the newest read that is known of was sent; zero where
// there was none.
func (t *Schedule) LastRead() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// WaitUntilDue returns nil once this process should read, or the context's error.
func (t *Schedule) WaitUntilDue(ctx context.Context) error {
	ticker := time.NewTicker(_review)
	defer ticker.Stop()
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if t.IsDesignated() || t.due(time.Now()) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (t *Schedule) due(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.latest) >= _staleLimit+t.jitter || now.Sub(t.own) >= _ownInterval+60*t.jitter
}
