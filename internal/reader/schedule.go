package reader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
)

const (
	// _maxStaleness is how old the last read by any process may be before this
	// process reads the platform itself.
	_maxStaleness = 4500 * time.Millisecond
	// _stalenessJitter is the upper bound of the random addition to
	// _maxStaleness. It spreads the reads of processes that reach _maxStaleness at
	// the same time.
	_stalenessJitter = time.Second
	// _ownReadInterval is how often a process reads the platform itself although
	// its peers read it often enough.
	_ownReadInterval = 2 * time.Minute
	// _retryDelay, plus a random addition of less than _retryJitter, is the delay
	// after a failed read. A designated reader waits _designatedRetryDelay.
	_retryDelay           = 2 * time.Second
	_retryJitter          = time.Second
	_designatedRetryDelay = 500 * time.Millisecond
	// _checkInterval is how often WaitUntilDue checks whether a read is due.
	_checkInterval = 250 * time.Millisecond
)

// Schedule decides when this process reads one kind of object from the platform.
// With the zero value, a read is always due. A Schedule is safe for concurrent
// use.
type Schedule struct {
	// Designated reports whether this process is one of its data centre's
	// designated readers; nil means that it always is. Set it before use.
	Designated func() bool
	// Outage logs outages of the platform; nil logs none.
	Outage *OutageLogger
	// Seed seeds the jitter. It must differ between processes, so that they don't all
	// read at the same time. Set it before use.
	Seed uint64

	mu          sync.Mutex
	lastRead    time.Time // by any process
	lastOwnRead time.Time // by this process
	jitter      time.Duration
	random      *rand.Rand
}

// IsDesignated reports whether this process is one of its data centre's designated
// readers.
func (s *Schedule) IsDesignated() bool { return s.Designated == nil || s.Designated() }

// ObserveRead records that some process sent a read at the given time, and that
// the platform answered it.
func (s *Schedule) ObserveRead(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.lastRead) {
		s.lastRead = at
	}
}

// RecordSuccess records that this process sent a read at the given time, and that
// the platform answered it.
func (s *Schedule) RecordSuccess(at time.Time) {
	s.ObserveRead(at)
	s.Outage.ReadAnswered(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOwnRead = at
	s.jitter = s.randomBelow(_stalenessJitter)
}

// BackOff records a read that failed with err, and waits for the retry delay or
// until ctx ends. The delay of designated readers is shorter.
func (s *Schedule) BackOff(ctx context.Context, err error) {
	s.Outage.ReadFailed(err, time.Now())
	s.mu.Lock()
	d := _retryDelay + s.randomBelow(_retryJitter)
	s.mu.Unlock()
	if s.IsDesignated() {
		d = _designatedRetryDelay
	}
	s.Sleep(ctx, d)
}

// Sleep waits for d or until ctx ends.
func (s *Schedule) Sleep(ctx context.Context, d time.Duration) {
	pauser.Pause(ctx, d)
}

// randomBelow returns a random duration from 0 up to, but not including, d. The
// caller holds s.mu.
func (s *Schedule) randomBelow(d time.Duration) time.Duration {
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, 3))
	}
	return time.Duration(s.random.Int64N(int64(d)))
}

// LastRead returns when the newest known read by any process was sent, or the zero
// time if none is known.
func (s *Schedule) LastRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}

// WaitUntilDue returns nil once this process should read the platform, or the
// context's error if ctx ends first.
func (s *Schedule) WaitUntilDue(ctx context.Context) error {
	ticker := time.NewTicker(_checkInterval)
	defer ticker.Stop()
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if s.IsDesignated() || s.isDue(time.Now()) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// isDue reports whether this process should read the platform although it is not
// designated. The jitter is added to both limits, and 60 times as much to
// _ownReadInterval, which is longer.
func (s *Schedule) isDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastRead) >= _maxStaleness+s.jitter || now.Sub(s.lastOwnRead) >= _ownReadInterval+60*s.jitter
}
