package reflector

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
var ErrCompacted = errors.New("reflector: store has compacted the history after this revision")

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

// Reflector keeps a copy of the objects of one kind. Set its fields before Run.
type Reflector[T any] struct {
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
	// OnAnswer is called with the time of each answer of the store that brings the copy
	// up to date, from which the age of the copy is measured; it may be nil.
	OnAnswer func(now time.Time)
	// Recovered returns a channel that is closed once the store is known to answer again, by
	// other reads or by a peer. That ends the pause after a failed call. It may be nil.
	Recovered func() <-chan struct{}
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
	// lostAt is when the current outage was noticed, and failedAt when the latest call failed.
	lostAt, failedAt time.Time
}

// Run lists and watches the objects until ctx ends.
func (r *Reflector[T]) Run(ctx context.Context) {
	r.values, r.retained = make(map[string]T), make(map[string]time.Time)
	listed := false
	for ctx.Err() == nil {
		var err error
		began, recovered := time.Now(), r.recovered()
		if !listed {
			err = r.list(ctx)
			listed = err == nil
		} else {
			err = r.watch(ctx)
			listed = !errors.Is(err, ErrCompacted)
		}
		if ctx.Err() != nil {
			return
		}
		r.recordResult(err, began)
		if err != nil {
			r.pauseAfterFailure(ctx, began, recovered)
			r.publishExpired(time.Now())
			continue
		}
		if r.BatchDelay != nil {
			pauser.Pause(ctx, r.BatchDelay())
		}
	}
}

// recovered returns the channel of Recovered, or nil, which is never closed.
func (r *Reflector[T]) recovered() <-chan struct{} {
	if r.Recovered == nil {
		return nil
	}
	return r.Recovered()
}

// pauseAfterFailure waits until the store may be called again after a call that began at began
// and failed, or until recovered is closed or ctx ends. The time that the call took counts, since
// one that got no answer has waited already. What is left is never nothing, so that processes
// whose calls were cut off at the same instant don't retry at the same instant.
func (r *Reflector[T]) pauseAfterFailure(ctx context.Context, began time.Time, recovered <-chan struct{}) {
	t := time.NewTimer(max(r.backoff()-time.Since(began), rand.N(_backoffMin)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-recovered:
	case <-ctx.Done():
	}
}

// backoff returns the shortest time between a call that failed and the next one. It grows with
// the number of failures and has jitter, so that processes don't retry at the same instant.
func (r *Reflector[T]) backoff() time.Duration {
	d := min(_backoffMin<<min(r.failures, 4), _backoffMax)
	return d/2 + rand.N(d/2+1)
}

// recordResult tracks whether the store answers, given the result of a call and when it began.
func (r *Reflector[T]) recordResult(err error, began time.Time) {
	now := time.Now()
	switch {
	case err == nil || errors.Is(err, ErrCompacted):
		// Where the history is gone, the copy is as old as it was.
		if r.OnAnswer != nil && err == nil {
			r.OnAnswer(now)
		}
		if r.unavailable {
			r.unavailable, r.recoveredAt = false, now
			r.notifyOutage(false)
			r.Log.Event("store-regained", logger.Fields{
				"kind": r.Kind, "revision": r.revision, "failures": r.failures, "outage_ms": now.Sub(r.lostAt).Milliseconds(),
				"paused_ms": began.Sub(r.failedAt).Milliseconds(), "read_ms": now.Sub(began).Milliseconds(),
			})
		}
		if err != nil {
			r.Log.Failure("store-history-gone", err, logger.Fields{"kind": r.Kind, "revision": r.revision})
		}
		r.failures = 0
	default:
		if !r.unavailable {
			r.unavailable, r.lostAt = true, now
			r.notifyOutage(true)
			r.Log.Failure("store-lost", err, logger.Fields{"kind": r.Kind, "revision": r.revision, "read_ms": now.Sub(began).Milliseconds()})
		}
		r.failures++
		r.failedAt = now
	}
}

func (r *Reflector[T]) notifyOutage(outage bool) {
	if r.OnOutage != nil {
		r.OnOutage(outage)
	}
}

func (r *Reflector[T]) logErrors(errs []error) {
	for _, err := range errs {
		r.Log.Failure("object-unreadable", err, logger.Fields{"kind": r.Kind})
	}
}

func (r *Reflector[T]) list(ctx context.Context) error {
	l, err := r.Source.List(ctx)
	if err != nil {
		return err
	}
	r.logErrors(l.Errors)
	if l.Revision < r.revision {
		// The list is older than the copy.
		return nil
	}
	now := time.Now()
	next := maps.Clone(l.Values)
	for n, v := range r.values {
		if _, ok := next[n]; !ok && r.retain(n, now) {
			next[n] = v
		}
	}
	for n := range l.Values {
		delete(r.retained, n)
	}
	r.Log.Event("listed", logger.Fields{"kind": r.Kind, "revision": l.Revision, "objects": len(l.Values), "retained": len(r.retained)})
	r.publish(l.Revision, next)
	return nil
}

func (r *Reflector[T]) watch(ctx context.Context) error {
	c, err := r.Source.Watch(ctx, r.revision, r.watchTimeout(time.Now()))
	if err != nil {
		return err
	}
	r.logErrors(c.Errors)
	now := time.Now()
	next := maps.Clone(r.values)
	changed := r.dropExpired(next, now)
	for _, x := range c.Changes {
		changed = true
		if !x.Deleted {
			next[x.Name] = x.Value
			delete(r.retained, x.Name)
			continue
		}
		if now.Sub(r.recoveredAt) > r.RemovalGrace || r.recoveredAt.IsZero() || !r.retain(x.Name, now) {
			delete(next, x.Name)
			delete(r.retained, x.Name)
		}
	}
	if changed {
		r.publish(max(r.revision, c.Revision), next)
	}
	r.revision = max(r.revision, c.Revision)
	return nil
}

// watchTimeout returns the longest wait of the next watch. The wait ends early where
// a retained object is to be dropped.
func (r *Reflector[T]) watchTimeout(now time.Time) time.Duration {
	wait := _watchWait
	for _, at := range r.retained {
		wait = min(wait, max(at.Sub(now), 50*time.Millisecond))
	}
	return wait
}

// retain reports whether a removed object stays in the copy, and starts its grace
// period where none runs.
func (r *Reflector[T]) retain(name string, now time.Time) bool {
	if r.RemovalGrace == 0 {
		return false
	}
	at, ok := r.retained[name]
	if !ok {
		at = now.Add(r.RemovalGrace)
		r.retained[name] = at
	}
	if !now.Before(at) {
		delete(r.retained, name)
		return false
	}
	return true
}

// dropExpired removes the retained objects whose grace period is over from values,
// and reports whether there were any.
func (r *Reflector[T]) dropExpired(values map[string]T, now time.Time) bool {
	changed := false
	for n, at := range r.retained {
		if !now.Before(at) {
			delete(values, n)
			delete(r.retained, n)
			changed = true
		}
	}
	return changed
}

// publishExpired drops the retained objects whose grace period is over, and
// publishes the copy if there were any. It is for the time when calls fail; watch
// drops them otherwise.
func (r *Reflector[T]) publishExpired(now time.Time) {
	next := maps.Clone(r.values)
	if r.dropExpired(next, now) {
		r.publish(r.revision, next)
	}
}

func (r *Reflector[T]) publish(revision uint64, values map[string]T) {
	r.values, r.revision = values, revision
	r.Publish(revision, values)
}
