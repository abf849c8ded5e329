package follower

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
)

// ErrCompacted says that the store no longer has the changes after a revision, so that
// the objects must be listed again.
var ErrCompacted = errors.New("follower: store has compacted the history after this revision")

// Listing is the set of all objects of a kind at a revision, by name.
type Listing[T any] struct {
	Values   map[string]T
	Revision uint64
	// Errors has one error for each object that could not be read.
	Errors []error
}

// Change is a new value of an object, or the removal of the object.
type Change[T any] struct {
	Name    string
	Value   T
	Deleted bool
}

// Changes are the changes up to a revision, oldest first.
type Changes[T any] struct {
	Changes  []Change[T]
	Revision uint64
	// Errors has one error for each object that could not be read; its change
	// counts as a removal.
	Errors []error
}

// Source reads the objects of one kind. Watch returns the changes after a
// revision. If there are none it waits for one, at most for wait; if the store no
// longer has them it fails with ErrCompacted.
type Source[T any] interface {
	List(ctx context.Context) (Listing[T], error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes[T], error)
}

const (
	// _watchWait is the longest wait of one watch. It also bounds how long a dead
	// connection goes unnoticed.
	_watchWait = 2 * time.Second
	// _backoffMin and _backoffMax bound the backoff after a failed call.
	_backoffMin = 150 * time.Millisecond
	_backoffMax = time.Second
)

// Follower keeps a copy of the objects of one kind. Set its fields before Run.
type Follower[T any] struct {
	// Kind names the kind of the objects in log lines.
	Kind   string
	Source Source[T]
	Log    logger.Logger
	// RemovalGrace is how long a removed object stays in the copy, if it was missing
	// from a new list or was removed within this time of the store's recovery. The
	// store drops entries during an outage, and their owners write them again.
	RemovalGrace time.Duration
	// BatchDelay returns the pause between two watches, so that one watch returns
	// several changes; nil means no pause.
	BatchDelay func() time.Duration
	// OnOutage is called with true when the store becomes unreadable, and with false
	// when it can be read again; it may be nil.
	OnOutage func(outage bool)
	// OnAnswer is called with the time of each answer of the store, from which the age
	// of the copy is measured; it may be nil.
	OnAnswer func(now time.Time)
	// Publish is called from Run's goroutine with each new copy, which the function
	// may keep but must not change.
	Publish func(revision uint64, values map[string]T)

	values   map[string]T
	revision uint64
	// retained has the objects that stay in the copy although the store has
	// removed them, with the time at which each is dropped.
	retained map[string]time.Time
	// recoveredAt is when the store first answered after its latest outage.
	recoveredAt time.Time
	unavailable bool
	failures    int
}

// Run lists and watches the objects until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	f.values, f.retained = make(map[string]T), make(map[string]time.Time)
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = f.list(ctx)
			listed = err == nil
		} else {
			err = f.watch(ctx)
			listed = !errors.Is(err, ErrCompacted)
		}
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		if err != nil {
			pauser.Pause(ctx, f.backoff())
			f.publishExpired(time.Now())
			continue
		}
		if f.BatchDelay != nil {
			pauser.Pause(ctx, f.BatchDelay())
		}
	}
}

// backoff returns the pause after the latest failure. It grows with the number of
// failures and has jitter, so that processes don't retry at the same instant.
func (f *Follower[T]) backoff() time.Duration {
	d := min(_backoffMin<<min(f.failures, 4), _backoffMax)
	return d/2 + rand.N(d/2+1)
}

// recordResult tracks whether the store answers, given the result of a call.
func (f *Follower[T]) recordResult(err error) {
	switch {
	case err == nil || errors.Is(err, ErrCompacted):
		if f.OnAnswer != nil {
			f.OnAnswer(time.Now())
		}
		if f.unavailable {
			f.unavailable, f.recoveredAt = false, time.Now()
			f.notifyOutage(false)
			f.Log.Event("store-regained", logger.Fields{"kind": f.Kind, "revision": f.revision, "failures": f.failures})
		}
		if err != nil {
			f.Log.Failure("store-history-gone", err, logger.Fields{"kind": f.Kind, "revision": f.revision})
		}
		f.failures = 0
	default:
		if !f.unavailable {
			f.unavailable = true
			f.notifyOutage(true)
			f.Log.Failure("store-lost", err, logger.Fields{"kind": f.Kind, "revision": f.revision})
		}
		f.failures++
	}
}

func (f *Follower[T]) notifyOutage(outage bool) {
	if f.OnOutage != nil {
		f.OnOutage(outage)
	}
}

func (f *Follower[T]) logErrors(errs []error) {
	for _, err := range errs {
		f.Log.Failure("object-unreadable", err, logger.Fields{"kind": f.Kind})
	}
}

func (f *Follower[T]) list(ctx context.Context) error {
	l, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	f.logErrors(l.Errors)
	if l.Revision < f.revision {
		// The list is older than the copy.
		return nil
	}
	now := time.Now()
	next := maps.Clone(l.Values)
	for n, v := range f.values {
		if _, ok := next[n]; !ok && f.retain(n, now) {
			next[n] = v
		}
	}
	for n := range l.Values {
		delete(f.retained, n)
	}
	f.Log.Event("listed", logger.Fields{"kind": f.Kind, "revision": l.Revision, "objects": len(l.Values), "retained": len(f.retained)})
	f.publish(l.Revision, next)
	return nil
}

func (f *Follower[T]) watch(ctx context.Context) error {
	c, err := f.Source.Watch(ctx, f.revision, f.watchTimeout(time.Now()))
	if err != nil {
		return err
	}
	f.logErrors(c.Errors)
	now := time.Now()
	next := maps.Clone(f.values)
	changed := f.dropExpired(next, now)
	for _, x := range c.Changes {
		changed = true
		if !x.Deleted {
			next[x.Name] = x.Value
			delete(f.retained, x.Name)
			continue
		}
		if now.Sub(f.recoveredAt) > f.RemovalGrace || f.recoveredAt.IsZero() || !f.retain(x.Name, now) {
			delete(next, x.Name)
			delete(f.retained, x.Name)
		}
	}
	if changed {
		f.publish(max(f.revision, c.Revision), next)
	}
	f.revision = max(f.revision, c.Revision)
	return nil
}

// watchTimeout returns the longest wait of the next watch. The wait ends early where
// a retained object is to be dropped.
func (f *Follower[T]) watchTimeout(now time.Time) time.Duration {
	wait := _watchWait
	for _, at := range f.retained {
		wait = min(wait, max(at.Sub(now), 50*time.Millisecond))
	}
	return wait
}

// retain reports whether a removed object stays in the copy, and starts its grace
// period where none runs.
func (f *Follower[T]) retain(name string, now time.Time) bool {
	if f.RemovalGrace == 0 {
		return false
	}
	at, ok := f.retained[name]
	if !ok {
		at = now.Add(f.RemovalGrace)
		f.retained[name] = at
	}
	if !now.Before(at) {
		delete(f.retained, name)
		return false
	}
	return true
}

// dropExpired removes the retained objects whose grace period is over from values,
// and reports whether there were any.
func (f *Follower[T]) dropExpired(values map[string]T, now time.Time) bool {
	changed := false
	for n, at := range f.retained {
		if !now.Before(at) {
			delete(values, n)
			delete(f.retained, n)
			changed = true
		}
	}
	return changed
}

// publishExpired drops the retained objects whose grace period is over, and
// publishes the copy if there were any. It is for the time when calls fail; watch
// drops them otherwise.
func (f *Follower[T]) publishExpired(now time.Time) {
	next := maps.Clone(f.values)
	if f.dropExpired(next, now) {
		f.publish(f.revision, next)
	}
}

func (f *Follower[T]) publish(revision uint64, values map[string]T) {
	f.values, f.revision = values, revision
	f.Publish(revision, values)
}
