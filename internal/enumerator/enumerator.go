package enumerator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// Kind is the kind of the processes' objects.
const Kind = "instance"

const (
	// _firstLook is the time from the start to the first count, when all
	// processes that start together have written their objects.
	_firstLook = 2 * time.Second
	// _lookEvery is the time between two counts.
	_lookEvery = 10 * time.Second
	// _renewEvery is the time between two renewals of an object.
	_renewEvery = time.Minute
	// _staleAfter is how long an object may stand still before its process counts
	// as gone.
	_staleAfter = 3 * _renewEvery
	// _writeTimeout bounds a write, and the last one at the stop.
	_writeTimeout = 500 * time.Millisecond
)

// Store is what the enumerator needs of the platform.
type Store interface {
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	Get(ctx context.Context, key string) (storer.Object, error)
	// Revisions returns the revisions of a kind's objects by name; they may be
	// seconds old.
	Revisions(ctx context.Context, kind string) (map[string]uint64, error)
}

// Enumerator counts processes. Set its fields before Run.
type Enumerator struct {
	Store Store
	Name  string
	Log   logger.Logger
	// Expected is the number that counts until the first look; 0 means 1.
	Expected int

	count atomic.Int64
	once  sync.Once

	// What follows belongs to Run's goroutine.
	written uint64
	renewed time.Time
	seen    map[string]sighting
}

// sighting is an object's revision and when it was first seen.
type sighting struct {
	revision uint64
	at       time.Time
}

// Count returns the number of processes, this one included.
func (e *Enumerator) Count() int {
	e.once.Do(func() { e.count.CompareAndSwap(0, int64(max(e.Expected, 1))) })
	return int(e.count.Load())
}

// Run renews this process's object and counts until ctx ends; then it removes
// the object.
func (e *Enumerator) Run(ctx context.Context) {
	e.seen = make(map[string]sighting)
	e.renew(ctx, time.Now())
	for wait := _firstLook; pauser.Pause(ctx, wait); wait = _lookEvery {
		now := time.Now()
		if e.written == 0 || now.Sub(e.renewed) >= _renewEvery {
			e.renew(ctx, now)
		}
		e.look(ctx, now)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), _writeTimeout)
	defer cancel()
	if e.written == 0 {
		return
	}
	if err := e.Store.Delete(last, Kind+"/"+e.Name, e.written); err != nil {
		e.Log.Failure("instance-object", err, logger.Fields{"step": "remove"})
	}
}

// renew writes this process's object.
func (e *Enumerator) renew(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, _writeTimeout)
	defer cancel()
	if err := e.write(ctx, now); err != nil {
		e.written = 0
		e.Log.Failure("instance-object", err, logger.Fields{"step": "renew"})
		return
	}
	e.renewed = now
}

func (e *Enumerator) write(ctx context.Context, now time.Time) error {
	key := Kind + "/" + e.Name
	value := fmt.Appendf(nil, `{"renewed":%d}`, now.UnixMilli())
	if e.written == 0 {
		version, err := e.Store.Create(ctx, key, value)
		if err == nil {
			e.written = version
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			return fmt.Errorf("enumerator: create %s: %w", key, err)
		}
		// An earlier life has left it, or a create took effect without an answer.
		o, err := e.Store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("enumerator: read %s: %w", key, err)
		}
		e.written = o.Version
	}
	version, err := e.Store.Update(ctx, key, e.written, value)
	if err != nil {
		return fmt.Errorf("enumerator: renew %s: %w", key, err)
	}
	e.written = version
	return nil
}

// look counts the objects that are renewed.
func (e *Enumerator) look(ctx context.Context, now time.Time) {
	revisions, err := e.Store.Revisions(ctx, Kind)
	if err != nil {
		e.Log.Failure("instance-count", err, logger.Fields{"count": e.Count(), "outcome": "the old count stays"})
		return
	}
	next := make(map[string]sighting, len(revisions))
	n := 0
	for name, r := range revisions {
		s := e.seen[name]
		if s.revision != r {
			s = sighting{revision: r, at: now}
		}
		next[name] = s
		if now.Sub(s.at) < _staleAfter {
			n++
		}
	}
	e.seen = next
	if before := e.Count(); before != max(n, 1) {
		e.count.Store(int64(max(n, 1)))
		e.Log.Event("instance-count", logger.Fields{"count": max(n, 1), "before": before})
	}
}
