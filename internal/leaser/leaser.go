package leaser

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// KeyPrefix is the prefix of the keys of lease objects; the lease's name follows it.
const KeyPrefix = "lease/"

// DefaultDuration is how long a lease stays valid after its last renewal, unless
// Leaser.Duration is set.
const DefaultDuration = 3 * time.Second

const (
	// _renewalsPerDuration is the number of renewals in a lease's duration.
	_renewalsPerDuration = 3
	// _retryDelay is the delay of the next step after a failed renewal or a write of unknown
	// outcome.
	_retryDelay = 250 * time.Millisecond
	// _marginDivisor sets the safety margin: a holder stops acting on the lease
	// duration/_marginDivisor before others may take it over.
	_marginDivisor = 6
	// _jitterDivisor sets the jitter: reads by processes that do not hold the lease are
	// delayed by up to duration/_jitterDivisor.
	_jitterDivisor = 3
	// _quickPollsPerDuration is the number of reads in a lease's duration by a process that
	// polls quickly.
	_quickPollsPerDuration = 5
	// _slowPollFactor is the number of durations between two reads by a process that
	// polls slowly, before jitter.
	_slowPollFactor = 4
)

// Store reads and conditionally writes objects of the platform.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// peeker is a Store that also offers a cheap read whose result may be seconds old.
type peeker interface {
	Peek(ctx context.Context, key string) (storer.Object, error)
}

// Leaser renews one lease while it holds it, and tries to acquire it otherwise. Make it
// with New and start it with Run. Its methods are safe for concurrent use except Run
// and Release.
type Leaser struct {
	// Duration is how long the lease stays valid after its last renewal; 0 means
	// DefaultDuration. Set it before Run.
	Duration time.Duration
	// Jitter delays each read of the lease by a random time, so that the reads of several
	// processes are spread and one of them sees an expiry soon. Set it before Run.
	Jitter bool
	// Name is the process's name, the part of holder before the slash. Set it before Run,
	// and only if no two processes of that name run at a time: a lease held by an earlier
	// start of the process is then taken over at once.
	Name string
	// PollsSlowly reports whether this process reads the lease less often, since it need
	// not be among the first to see an expiry; nil means false. Set it before Run.
	PollsSlowly func() bool
	// PollsQuickly reports whether this process reads the lease more often, so that it is
	// the first to see an expiry; nil means false. Set it before Run.
	PollsQuickly func() bool

	store  Store
	log    logger.Logger
	key    string
	holder string
	// wake ends the pause between two steps early.
	wake chan struct{}

	// The fields up to mu belong to Run's goroutine, and to Release after Run.

	// lease is the lease as last read or written.
	lease *wire.Lease
	// version is the platform's version of the lease object; 0 where the object must be
	// read again.
	version uint64
	// versionSeenAt is when this process first saw that version.
	versionSeenAt time.Time
	// missed says that a slow poll has found no lease yet.
	missed bool
	// uncertain says that it is unknown whether the last write took effect.
	uncertain bool
	// sentRenewals is the renewal count in the last write that was sent, and
	// renewalSentAt is when it was sent.
	sentRenewals  uint64
	renewalSentAt time.Time

	// latestTerm is the latest term that this process knows to have been given out.
	latestTerm atomic.Uint64

	mu sync.Mutex
	// term is the term of the lease as this process last wrote it.
	term uint64
	// validUntil is when this process must stop acting on the lease; zero where it is not
	// held.
	validUntil time.Time
	// heldSince is when the lease was acquired; zero where this process is not its last
	// known holder.
	heldSince time.Time
	// renewedAt is when the last write that took or renewed the lease was sent.
	renewedAt time.Time
}

// New returns a Leaser for the lease of that name. holder identifies this start of the
// process: it is the process's name, a slash and a part that no other start has.
func New(store Store, name, holder string, log logger.Logger) *Leaser {
	return &Leaser{store: store, key: KeyPrefix + name, holder: holder, log: log, wake: make(chan struct{}, 1)}
}

// Wake makes Run read or renew the lease now. It never blocks.
func (l *Leaser) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
		// An earlier call has not taken effect yet; one step serves both calls.
	}
}

// Run acquires and renews the lease until ctx ends.
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

// Release gives up a held lease, so that another process need not wait for its expiry.
// Call it after Run has returned and nothing acts on the lease any more; ctx bounds the
// write.
func (l *Leaser) Release(ctx context.Context) {
	if !l.Held(time.Now()) || l.version == 0 {
		return
	}
	l.mu.Lock()
	l.validUntil, l.heldSince = time.Time{}, time.Time{}
	l.mu.Unlock()
	value, err := protojson.Marshal(&wire.Lease{Term: l.lease.GetTerm(), Renewals: l.lease.GetRenewals() + 1})
	if err == nil {
		_, err = l.store.Update(ctx, l.key, l.version, value)
	}
	l.version = 0
	if err != nil {
		l.log.Failure("lease-release", err, logger.Fields{"lease": l.key, "term": l.lease.GetTerm()})
		return
	}
	l.log.Event("lease-released", logger.Fields{"lease": l.key, "term": l.lease.GetTerm()})
}

// wait returns the time to the next step. A process that does not hold the lease reads
// it only once per duration or less, which is enough to see an expiry.
func (l *Leaser) wait(err error) time.Duration {
	l.mu.Lock()
	isHolder := !l.heldSince.IsZero()
	l.mu.Unlock()
	switch {
	case l.uncertain || isHolder && err != nil:
		return _retryDelay
	case isHolder:
		return l.duration() / _renewalsPerDuration
	case l.PollsQuickly != nil && l.PollsQuickly():
		return l.duration() / _quickPollsPerDuration
	case l.pollsSlowly():
		return _slowPollFactor*l.duration() + rand.N(l.duration())
	case l.Jitter:
		return l.duration() + rand.N(l.duration()/_jitterDivisor)
	default:
		return l.duration()
	}
}

func (l *Leaser) pollsSlowly() bool { return l.PollsSlowly != nil && l.PollsSlowly() }

// isEarlierRun reports whether a holder is an earlier start of this process.
func (l *Leaser) isEarlierRun(holder string) bool {
	return l.Name != "" && holder != l.holder && strings.HasPrefix(holder, l.Name+"/")
}

func (l *Leaser) duration() time.Duration {
	if l.Duration > 0 {
		return l.Duration
	}
	return DefaultDuration
}

// step renews a held lease, or takes over one that has expired. An error says that the
// lease could not be read or written; a held lease then stays held until it expires.
func (l *Leaser) step(ctx context.Context) error {
	sentAt := time.Now()
	isOutdated := l.lease.GetTerm() < l.latestTerm.Load() // by what peers or upstreams tell
	if l.lease.GetHolder() == l.holder && l.version != 0 && l.WasLastHolder() && !isOutdated {
		return l.write(ctx, sentAt, l.version, l.lease.GetTerm())
	}
	if l.renewedByOther(ctx) {
		return nil
	}
	sentAt = time.Now()
	o, err := l.store.Get(ctx, l.key)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return l.write(ctx, sentAt, 0, l.nextTerm())
	case err != nil:
		return fmt.Errorf("leaser: read %s: %w", l.key, err)
	}
	var found wire.Lease
	if err := protojson.Unmarshal(o.Value, &found); err != nil {
		return fmt.Errorf("leaser: decode %s: %w", l.key, err)
	}
	if l.version != o.Version {
		// The holder may have written this version at any time until the response.
		l.version, l.versionSeenAt = o.Version, time.Now()
	}
	l.lease = &found
	// The store has come back from a copy: another process may hold the lease of a later term.
	isOld := found.GetTerm() < l.latestTerm.Load()
	l.ObserveTerm(found.GetTerm())
	if found.GetHolder() == l.holder && !isOld {
		if found.GetRenewals() == l.sentRenewals {
			// The last write took effect although its response was lost.
			l.recordHeld(l.renewalSentAt, found.GetTerm())
		}
		return l.write(ctx, sentAt, o.Version, found.GetTerm())
	}
	l.recordLoss()
	if l.isEarlierRun(found.GetHolder()) && !isOld {
		// The holder no longer runs.
		return l.write(ctx, sentAt, o.Version, l.nextTerm())
	}
	expiry := time.Duration(found.GetDurationMs()) * time.Millisecond
	if isOld {
		expiry = l.duration()
	}
	if sentAt.Sub(l.versionSeenAt) < expiry {
		return nil
	}
	return l.write(ctx, sentAt, o.Version, l.nextTerm())
}

// ObserveTerm records a term that was given out, as peers or upstreams tell: the lease in the store
// may be of an earlier time, and its next term must lie above all that were given out. A holder of
// an earlier term gives the lease up, and takes it again under a later one. It is safe
// for concurrent use.
func (l *Leaser) ObserveTerm(term uint64) {
	for {
		latest := l.latestTerm.Load()
		if term <= latest || l.latestTerm.CompareAndSwap(latest, term) {
			return
		}
	}
}

// LatestTerm returns the latest term that is known; 0 if none is.
func (l *Leaser) LatestTerm() uint64 { return l.latestTerm.Load() }

// nextTerm returns the term of a lease that is taken over.
func (l *Leaser) nextTerm() uint64 { return l.latestTerm.Load() + 1 }

// renewedByOther reports whether Peek shows a renewal by another process, so that no Get
// is needed. Peek's result may be out of date, and so is never a reason to take the
// lease over. A process that polls slowly takes the first version that it sees for a
// renewal, and leaves a missing lease to others until its next poll.
func (l *Leaser) renewedByOther(ctx context.Context) bool {
	p, ok := l.store.(peeker)
	if !ok || l.uncertain || l.lease == nil && !l.pollsSlowly() || l.lease.GetHolder() == l.holder {
		return false
	}
	o, err := p.Peek(ctx, l.key)
	if err != nil && l.lease == nil && !l.missed {
		// Processes that poll more often are about to create the lease.
		l.missed = true
		return true
	}
	if err != nil || o.Version <= l.version {
		return false
	}
	var found wire.Lease
	if err := protojson.Unmarshal(o.Value, &found); err != nil || found.GetHolder() == "" || found.GetHolder() == l.holder || l.isEarlierRun(found.GetHolder()) {
		// The lease was released, is that of a run of this process or can't be decoded;
		// Get decides which.
		return false
	}
	l.ObserveTerm(found.GetTerm())
	l.lease, l.version, l.versionSeenAt = &found, o.Version, time.Now()
	return true
}

// write creates the lease object if version is 0, or updates that version of it. A
// conflict is not an error.
func (l *Leaser) write(ctx context.Context, sentAt time.Time, version, term uint64) error {
	next := &wire.Lease{
		Holder: l.holder, Term: term, DurationMs: uint32(l.duration().Milliseconds()), Renewals: l.lease.GetRenewals() + 1,
	}
	l.sentRenewals, l.renewalSentAt = next.GetRenewals(), sentAt
	value, err := protojson.Marshal(next)
	if err != nil {
		return fmt.Errorf("leaser: encode: %w", err)
	}
	if version == 0 {
		version, err = l.store.Create(ctx, l.key, value)
	} else {
		version, err = l.store.Update(ctx, l.key, version, value)
	}
	l.uncertain = errors.Is(err, storer.ErrUncertain)
	if errors.Is(err, storer.ErrConflict) {
		// Another process wrote first; the next step reads the lease that it wrote.
		l.version = 0
		return nil
	}
	if err != nil {
		// The write may have taken effect, so the next step must read who holds the
		// lease.
		l.version = 0
		return fmt.Errorf("leaser: write %s: %w", l.key, err)
	}
	l.ObserveTerm(term)
	l.lease, l.version, l.versionSeenAt = next, version, sentAt
	l.recordHeld(sentAt, term)
	return nil
}
