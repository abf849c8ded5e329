package sharer

import (
	"context"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/follower"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _directWait is the longest wait of a gatherer's own watch: peers ask how old
	// its knowledge is.
	_directWait = time.Second
	// _agedAfter is the age of a gatherer's knowledge from which its peers read the
	// platform themselves.
	_agedAfter = 1300 * time.Millisecond
	// _patience is how long a process waits for its gatherer before it reads the
	// platform itself.
	_patience = 700 * time.Millisecond
)

// Source follows one kind, through the gatherer where there is one.
type Source struct {
	sharer *Sharer
	kind   string
	direct follower.Source[[]byte]

	// The sharer's lock guards what follows.
	history history
	// wanted is the revision after which the follower waits for changes.
	wanted uint64
	// got is what the gatherer answered, nil once it was taken.
	got *follower.Changes[[]byte]
	// told is when the gatherer last answered, and knew.
	told time.Time
	// refused is when the gatherer last said that it does not know.
	refused time.Time
	// changed is closed when the gatherer has answered.
	changed chan struct{}
}

// Source returns the shared source of a kind that is otherwise read directly. Call
// it before Run.
func (s *Sharer) Source(kind string, direct follower.Source[[]byte]) *Source {
	x := &Source{sharer: s, kind: kind, direct: direct, changed: make(chan struct{})}
	s.sources = append(s.sources, x)
	return x
}

// List reads all objects from the platform.
func (x *Source) List(ctx context.Context) (follower.Listing[[]byte], error) {
	l, err := x.direct.List(ctx)
	if err == nil {
		x.sharer.mu.Lock()
		x.history.listed(l.Revision, time.Now())
		x.sharer.mu.Unlock()
	}
	return l, err
}

// Watch waits for changes after a revision, up to wait.
func (x *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (follower.Changes[[]byte], error) {
	if x.sharer.FollowsGatherer() {
		if c, ok := x.ask(ctx, after, wait); ok {
			return c, nil
		}
		wait = min(wait, _patience)
	}
	if x.sharer.IsRunning() {
		wait = min(wait, _directWait)
	}
	c, err := x.direct.Watch(ctx, after, wait)
	if err == nil {
		x.sharer.mu.Lock()
		x.history.add(after, c.Revision, c.Changes, time.Now())
		x.sharer.mu.Unlock()
	}
	return c, err
}

// ask waits for what the gatherer answers. It is false where the gatherer does not
// know.
func (x *Source) ask(ctx context.Context, after uint64, wait time.Duration) (follower.Changes[[]byte], bool) {
	begun := time.Now()
	x.sharer.mu.Lock()
	x.wanted, x.got = after, nil
	x.sharer.mu.Unlock()
	for {
		x.sharer.mu.Lock()
		got, told, refused, changed := x.got, x.told, x.refused, x.changed
		x.got = nil
		x.sharer.mu.Unlock()
		if got != nil {
			return *got, true
		}
		now := time.Now()
		over := begun.Add(wait)
		patience := told.Add(_patience)
		if told.Before(begun) {
			patience = begun.Add(_patience)
		}
		switch {
		case !now.Before(patience) || refused.After(begun) || ctx.Err() != nil:
			return follower.Changes[[]byte]{}, false
		case !now.Before(over):
			return follower.Changes[[]byte]{Revision: after}, told.After(begun)
		}
		t := time.NewTimer(min(over.Sub(now), patience.Sub(now)))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// take notes what the gatherer knows; the sharer's lock is held.
func (x *Source) take(f *wire.Following, now time.Time) {
	age := time.Duration(f.GetAgeMs()) * time.Millisecond
	switch {
	case f.GetRevision() < x.wanted:
		// It has not read that far yet.
		return
	case f.GetUnknown() || age > _agedAfter:
		x.refused = now
	default:
		x.told = now
		if f.GetRevision() > x.wanted || len(f.GetChanges()) > 0 {
			x.got = &follower.Changes[[]byte]{Revision: f.GetRevision(), Changes: decodeChanges(f.GetChanges())}
		}
	}
	close(x.changed)
	x.changed = make(chan struct{})
}
