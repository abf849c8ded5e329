package leaser

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Prefix is the prefix of lease objects; the key goes on with the data centre.
const Prefix = "lease/"

// Duration is how long a lease stays valid after its last renewal, where the
// Leaser names no other time.
const Duration = 3 * time.Second

const (
	// _renewParts is the number of renewals in a lease's duration.
	_renewParts = 3
	// _retryWait is the pause of a holder after a failed renewal.
	_retryWait = 250 * time.Millisecond
	// _marginParts is the part of the duration by which a holder stops to act
	// earlier than others may take over.
	_marginParts = 6
	// _spreadParts is the part of the duration over which the looks of processes
	// that seek a lease are spread, where they are.
	_spreadParts = 3
	// _patientTimes is how much less often a patient process looks.
	_patientTimes = 4
)

// Store is what the leaser needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// peeker is a Store that can also read cheaply what may be seconds old.
type peeker interface {
	Peek(ctx context.Context, key string) (storer.Object, error)
}

// Leaser holds or seeks one lease. Make it with New, start it with Run. Its
// other methods are safe for concurrent use.
type Leaser struct {
	// Duration is how long the lease stays valid after its last renewal; 0 means
	// the constant Duration. Set it before Run.
	Duration time.Duration
	// Spread spreads the looks of processes that seek the lease, so that one of
	// them sees a lapse soon. Set it before Run.
	Spread bool
	// Name is the process's name, with which holder begins, where only one process of
	// that name runs at a time: a lease held by an earlier life of it is taken over at
	// once. Empty otherwise. Set it before Run.
	Name string
	// Patient says that this process need not be among the first to see a lapse; nil
	// means that it should be. Set it before Run.
	Patient func() bool

	store  Store
	log    logger.Logger
	key    string
	holder string
	// wake ends a pause early.
	wake chan struct{}

	// What follows belongs to Run's goroutine.
	seen *wire.Lease
	// version is the platform's version of seen; 0 where it must be read.
	version uint64
	// seenAt is when this process first saw the lease as it is now.
	seenAt time.Time
	// unsure says that the last write may have taken effect or not.
	unsure bool
	// tried is the number of the last renewal that was sent, and triedAt is when.
	tried   uint64
	triedAt time.Time

	mu   sync.Mutex
	term uint64
	// validUntil is when a held lease lapses; zero where it is not held.
	validUntil time.Time
	// heldSince is when the lease was taken; zero where another holds it.
	heldSince time.Time
}

// New returns a Leaser for a data centre; holder is the process's name with a
// part that no other start of the process has.
func New(store Store, dataCentre, holder string, log logger.Logger) *Leaser {
	return &Leaser{store: store, key: Prefix + dataCentre, holder: holder, log: log, wake: make(chan struct{}, 1)}
}

// Wake makes the process look at the lease now. It never blocks.
func (l *Leaser) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
		// It has been woken already.
	}
}

// Held says that the lease is held at the time given.
func (l *Leaser) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.validUntil)
}

// HeldFor returns for how long no other process has held the lease; 0 where it
// is not held.
func (l *Leaser) HeldFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.validUntil) {
		return 0
	}
	return now.Sub(l.heldSince)
}

// WasLastHolder says that this process was the last known holder of the lease: it
// held it, and has not read that another one does.
func (l *Leaser) WasLastHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.heldSince.IsZero()
}

// Term returns the term of the lease as this process last wrote it.
func (l *Leaser) Term() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// Run holds or seeks the lease until ctx ends.
func (l *Leaser) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := l.step(ctx)
		failures++
		if err == nil {
			failures = 0
		}
		if failures == 1 && ctx.Err() == nil {
			l.log.Failure("lease-step", err, logger.Fields{"lease": l.key})
		}
		l.pause(ctx, l.wait(err))
	}
}

// pause waits for d, or until it is woken or ctx ends.
func (l *Leaser) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.wake:
	case <-ctx.Done():
	}
}

// Release gives a held lease up at once, so that another process need not wait
// for its lapse. Call it after Run has returned and nothing acts on the lease any
// more; ctx bounds the write.
func (l *Leaser) Release(ctx context.Context) {
	if !l.Held(time.Now()) || l.version == 0 {
		return
	}
	l.mu.Lock()
	l.validUntil, l.heldSince = time.Time{}, time.Time{}
	l.mu.Unlock()
	value, err := protojson.Marshal(&wire.Lease{Term: l.seen.GetTerm(), Renewals: l.seen.GetRenewals() + 1})
	if err == nil {
		_, err = l.store.Update(ctx, l.key, l.version, value)
	}
	l.version = 0
	if err != nil {
		l.log.Failure("lease-release", err, logger.Fields{"lease": l.key, "term": l.seen.GetTerm()})
		return
	}
	l.log.Event("lease-released", logger.Fields{"lease": l.key, "term": l.seen.GetTerm()})
}

// wait returns the time to the next step. A process that seeks the lease reads
// it once in each Duration, which is all that it takes to see a lapse.
func (l *Leaser) wait(err error) time.Duration {
	l.mu.Lock()
	holds := !l.heldSince.IsZero()
	l.mu.Unlock()
	switch {
	case l.unsure || holds && err != nil:
		return _retryWait
	case holds:
		return l.duration() / _renewParts
	case l.Patient != nil && l.Patient():
		return _patientTimes*l.duration() + rand.N(l.duration())
	case l.Spread:
		return l.duration() + rand.N(l.duration()/_spreadParts)
	default:
		return l.duration()
	}
}

func (l *Leaser) duration() time.Duration {
	if l.Duration > 0 {
		return l.Duration
	}
	return Duration
}

// step renews a held lease, or takes over one that lapsed. An error says that
// the lease could not be read or written; a held lease stays held until it
// lapses.
func (l *Leaser) step(ctx context.Context) error {
	sent := time.Now()
	if l.seen.GetHolder() == l.holder && l.version != 0 {
		return l.write(ctx, sent, l.version, l.seen.GetTerm())
	}
	if l.stands(ctx, sent) {
		return nil
	}
	o, err := l.store.Get(ctx, l.key)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return l.write(ctx, sent, 0, l.seen.GetTerm()+1)
	case err != nil:
		return fmt.Errorf("leaser: read %s: %w", l.key, err)
	}
	var found wire.Lease
	if err := protojson.Unmarshal(o.Value, &found); err != nil {
		return fmt.Errorf("leaser: read %s: %w", l.key, err)
	}
	if l.version != o.Version {
		l.version, l.seenAt = o.Version, sent
	}
	l.seen = &found
	if found.GetHolder() == l.holder {
		if found.GetRenewals() == l.tried {
			// The renewal took effect although its answer was lost.
			l.hold(l.triedAt, found.GetTerm())
		}
		return l.write(ctx, sent, o.Version, found.GetTerm())
	}
	l.lose()
	if l.Name != "" && strings.HasPrefix(found.GetHolder(), l.Name+"/") {
		// It is an earlier life of this process.
		return l.write(ctx, sent, o.Version, found.GetTerm()+1)
	}
	if sent.Sub(l.seenAt) < time.Duration(found.GetDurationMs())*time.Millisecond {
		return nil
	}
	return l.write(ctx, sent, o.Version, found.GetTerm()+1)
}

// stands says, from a cheap read, that another process renews the lease. What
// may be old is never a reason to take it.
func (l *Leaser) stands(ctx context.Context, sent time.Time) bool {
	p, ok := l.store.(peeker)
	if !ok || l.unsure || l.seen == nil || l.seen.GetHolder() == l.holder {
		return false
	}
	o, err := p.Peek(ctx, l.key)
	if err != nil || o.Version <= l.version {
		return false
	}
	var found wire.Lease
	if err := protojson.Unmarshal(o.Value, &found); err != nil || found.GetHolder() == "" {
		// It was given up, or the full read tells what is wrong.
		return false
	}
	l.version, l.seenAt = o.Version, sent
	return true
}

// lose notes that another process holds the lease.
func (l *Leaser) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldSince.IsZero() {
		l.log.Event("lease-lost", logger.Fields{"lease": l.key, "holder": l.seen.GetHolder(), "term": l.seen.GetTerm()})
	}
	l.validUntil, l.heldSince = time.Time{}, time.Time{}
}

func (l *Leaser) write(ctx context.Context, sent time.Time, version, term uint64) error {
	next := &wire.Lease{
		Holder: l.holder, Term: term, DurationMs: uint32(l.duration().Milliseconds()), Renewals: l.seen.GetRenewals() + 1,
	}
	l.tried, l.triedAt = next.GetRenewals(), sent
	value, err := protojson.Marshal(next)
	if err != nil {
		return fmt.Errorf("leaser: encode: %w", err)
	}
	if version == 0 {
		version, err = l.store.Create(ctx, l.key, value)
	} else {
		version, err = l.store.Update(ctx, l.key, version, value)
	}
	l.unsure = errors.Is(err, storer.ErrUncertain)
	if errors.Is(err, storer.ErrConflict) {
		// Another process was faster; the next step reads what it wrote.
		l.version = 0
		return nil
	}
	if err != nil {
		// The write may have taken effect, so the next step reads who holds the
		// lease.
		l.version = 0
		return fmt.Errorf("leaser: write %s: %w", l.key, err)
	}
	l.seen, l.version, l.seenAt = next, version, sent
	l.hold(sent, term)
	return nil
}

// hold notes that the lease was written, by a write that was sent at the time
// given.
func (l *Leaser) hold(sent time.Time, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldSince.IsZero() {
		l.heldSince = sent
		l.log.Event("lease-taken", logger.Fields{"lease": l.key, "term": term})
	}
	l.term = term
	l.validUntil = sent.Add(l.duration() - l.duration()/_marginParts)
}
