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

// ErrCompacted says that the store does not have the history after a revision any
// more.
var ErrCompacted = errors.New("history is gone")

// Listing is every object of a kind at a revision.
type Listing[T any] struct {
	Values   map[string]T
	Revision uint64
	// Errors name the objects that could not be read.
	Errors []error
}

// Change is a new value of an object, or its removal.
type Change[T any] struct {
	Name    string
	Value   T
	Deleted bool
}

// Changes are what happened up to a revision.
type Changes[T any] struct {
	Changes  []Change[T]
	Revision uint64
	// Errors name the objects that could not be read; their changes count as
	// removals.
	Errors []error
}

// Source is where the objects of one kind are read.
type Source[T any] interface {
	List(ctx context.Context) (Listing[T], error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes[T], error)
}

const (
	// _watchWait is the longest wait of one watch. A connection that fell silent
	// is noticed soon after it.
	_watchWait = 2 * time.Second
	// _pauseMin and _pauseMax bound the pause after a call that failed.
	_pauseMin = 150 * time.Millisecond
	_pauseMax = time.Second
)

// Follower follows one kind. Set its fields before Run.
type Follower[T any] struct {
	// Kind is the kind's name in log lines.
	Kind   string
	Source Source[T]
	Log    logger.Logger
	// RemovalGrace is for how long an object that is missing in a new list, or is
	// removed within this time of the store's return, is still shown: the store
	// drops entries while it is away, and their owners write them again.
	RemovalGrace time.Duration
	// BatchDelay returns the pause between two watches, in which changes gather; nil
	// means none.
	BatchDelay func() time.Duration
	// OnOutage is told when the store can't be read any more, and when it can; it may
	// be nil.
	OnOutage func(away bool)
	// OnAnswer is told when the store has answered, so that what is known is as new as
	// that; it may be nil.
	OnAnswer func(now time.Time)
	// Publish is called from Run's goroutine with each new copy, which it may
	// keep and must not change.
	Publish func(revision uint64, values map[string]T)

	values   map[string]T
	revision uint64
	// doubted are the objects that are shown although the store has removed
	// them, with the time at which they go.
	doubted map[string]time.Time
	// regained is when the store answered again after it was away.
	regained time.Time
	away     bool
	failures int
}

// Run follows the kind until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	f.values, f.doubted = make(map[string]T), make(map[string]time.Time)
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
		f.note(err)
		if err != nil {
			pauser.Pause(ctx, f.pause())
			f.expire(time.Now())
			continue
		}
		if f.BatchDelay != nil {
			pauser.Pause(ctx, f.BatchDelay())
		}
	}
}

// pause returns the pause after the latest failure; it grows and is spread, so
// that processes don't come together.
func (f *Follower[T]) pause() time.Duration {
	d := min(_pauseMin<<min(f.failures, 4), _pauseMax)
	return d/2 + rand.N(d/2+1)
}

// note keeps account of whether the store answers.
func (f *Follower[T]) note(err error) {
	switch {
	case err == nil || errors.Is(err, ErrCompacted):
		if f.OnAnswer != nil {
			f.OnAnswer(time.Now())
		}
		if f.away {
			f.away, f.regained = false, time.Now()
			f.tell(false)
			f.Log.Event("store-regained", logger.Fields{"kind": f.Kind, "revision": f.revision, "failures": f.failures})
		}
		if err != nil {
			f.Log.Failure("store-history-gone", err, logger.Fields{"kind": f.Kind, "revision": f.revision})
		}
		f.failures = 0
	default:
		if !f.away {
			f.away = true
			f.tell(true)
			f.Log.Failure("store-lost", err, logger.Fields{"kind": f.Kind, "revision": f.revision})
		}
		f.failures++
	}
}

func (f *Follower[T]) tell(away bool) {
	if f.OnOutage != nil {
		f.OnOutage(away)
	}
}

func (f *Follower[T]) faults(faults []error) {
	for _, err := range faults {
		f.Log.Failure("object-unreadable", err, logger.Fields{"kind": f.Kind})
	}
}

func (f *Follower[T]) list(ctx context.Context) error {
	l, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	f.faults(l.Errors)
	if l.Revision < f.revision {
		return nil
	}
	now := time.Now()
	next := maps.Clone(l.Values)
	for n, v := range f.values {
		if _, ok := next[n]; !ok && f.doubt(n, now) {
			next[n] = v
		}
	}
	for n := range l.Values {
		delete(f.doubted, n)
	}
	f.Log.Event("listed", logger.Fields{"kind": f.Kind, "revision": l.Revision, "objects": len(l.Values), "doubted": len(f.doubted)})
	f.publish(l.Revision, next)
	return nil
}

func (f *Follower[T]) watch(ctx context.Context) error {
	c, err := f.Source.Watch(ctx, f.revision, f.wait(time.Now()))
	if err != nil {
		return err
	}
	f.faults(c.Errors)
	now := time.Now()
	next := maps.Clone(f.values)
	changed := f.forget(next, now)
	for _, x := range c.Changes {
		changed = true
		if !x.Deleted {
			next[x.Name] = x.Value
			delete(f.doubted, x.Name)
			continue
		}
		if now.Sub(f.regained) > f.RemovalGrace || f.regained.IsZero() || !f.doubt(x.Name, now) {
			delete(next, x.Name)
			delete(f.doubted, x.Name)
		}
	}
	if changed {
		f.publish(max(f.revision, c.Revision), next)
	}
	f.revision = max(f.revision, c.Revision)
	return nil
}

// wait returns how long the next watch may take; doubted objects must go in
// time.
func (f *Follower[T]) wait(now time.Time) time.Duration {
	wait := _watchWait
	for _, at := range f.doubted {
		wait = min(wait, max(at.Sub(now), 50*time.Millisecond))
	}
	return wait
}

// doubt says that a removed object is still shown.
func (f *Follower[T]) doubt(name string, now time.Time) bool {
	if f.RemovalGrace == 0 {
		return false
	}
	at, ok := f.doubted[name]
	if !ok {
		at = now.Add(f.RemovalGrace)
		f.doubted[name] = at
	}
	if !now.Before(at) {
		delete(f.doubted, name)
		return false
	}
	return true
}

// forget removes the doubted objects whose time is over.
func (f *Follower[T]) forget(values map[string]T, now time.Time) bool {
	changed := false
	for n, at := range f.doubted {
		if !now.Before(at) {
			delete(values, n)
			delete(f.doubted, n)
			changed = true
		}
	}
	return changed
}

// expire removes doubted objects while the store is away again.
func (f *Follower[T]) expire(now time.Time) {
	next := maps.Clone(f.values)
	if f.forget(next, now) {
		f.publish(f.revision, next)
	}
}

func (f *Follower[T]) publish(revision uint64, values map[string]T) {
	f.values, f.revision = values, revision
	f.Publish(revision, values)
}
