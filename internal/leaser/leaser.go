package leaser

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Prefix is the prefix of lease objects; the key goes on with the data centre.
const Prefix = "lease/"

// Duration is how long a lease stays valid after its last renewal.
const Duration = 3 * time.Second

// _margin is how much earlier a holder stops to act than others may take over.
const _margin = 500 * time.Millisecond

// Store is what the leaser needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// Leaser holds or seeks one lease. Make it with New. It is not safe for
// concurrent use.
type Leaser struct {
	store  Store
	log    logger.Logger
	key    string
	holder string

	seen    *wire.Lease
	version uint64
	// seenAt is when this process first saw the lease as it is now.
	seenAt time.Time
	// validUntil is when a held lease lapses; zero where it is not held.
	validUntil time.Time
	// heldSince is when the lease was taken; zero where it is not held.
	heldSince time.Time
}

// New returns a Leaser for a data centre; holder is the process's name with a
// part that no other start of the process has.
func New(store Store, dataCentre, holder string, log logger.Logger) *Leaser {
	return &Leaser{store: store, key: Prefix + dataCentre, holder: holder, log: log}
}

// Held says that the lease is held at the time given.
func (l *Leaser) Held(now time.Time) bool { return now.Before(l.validUntil) }

// HeldFor returns how long the lease has been held; 0 where it is not.
func (l *Leaser) HeldFor(now time.Time) time.Duration {
	if !l.Held(now) {
		return 0
	}
	return now.Sub(l.heldSince)
}

// Term returns the lease's term, the last one known where it is not held.
func (l *Leaser) Term() uint64 { return l.seen.GetTerm() }

// Step renews a held lease, or takes over one that lapsed. Call it a few times
// in each Duration. An error says that the lease could not be read or written;
// a held lease stays held until it lapses.
func (l *Leaser) Step(ctx context.Context) error {
	sent := time.Now()
	o, err := l.store.Get(ctx, l.key)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return l.write(ctx, sent, 0, 1)
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
		return l.write(ctx, sent, o.Version, found.GetTerm())
	}
	l.lose()
	if sent.Sub(l.seenAt) < time.Duration(found.GetDurationMs())*time.Millisecond {
		return nil
	}
	return l.write(ctx, sent, o.Version, found.GetTerm()+1)
}

func (l *Leaser) lose() {
	if !l.validUntil.IsZero() {
		l.log.Event("lease-lost", logger.Fields{"lease": l.key, "holder": l.seen.GetHolder(), "term": l.seen.GetTerm()})
	}
	l.validUntil, l.heldSince = time.Time{}, time.Time{}
}

func (l *Leaser) write(ctx context.Context, sent time.Time, version, term uint64) error {
	next := &wire.Lease{
		Holder: l.holder, Term: term, DurationMs: uint32(Duration.Milliseconds()), Renewals: l.seen.GetRenewals() + 1,
	}
	value, err := protojson.Marshal(next)
	if err != nil {
		return fmt.Errorf("leaser: encode: %w", err)
	}
	if version == 0 {
		version, err = l.store.Create(ctx, l.key, value)
	} else {
		version, err = l.store.Update(ctx, l.key, version, value)
	}
	if errors.Is(err, storer.ErrConflict) {
		// Another process was faster; the next step reads what it wrote.
		return nil
	}
	if err != nil {
		return fmt.Errorf("leaser: write %s: %w", l.key, err)
	}
	if l.heldSince.IsZero() {
		l.heldSince = sent
		l.log.Event("lease-taken", logger.Fields{"lease": l.key, "term": term})
	}
	l.seen, l.version, l.seenAt = next, version, sent
	l.validUntil = sent.Add(Duration - _margin)
	return nil
}
