package sharer

import (
	"context"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _maxDirectWait is the longest wait of one watch on the platform. A gatherer tells
	// its peers the time since its last answer from the platform, which must stay below
	// _maxGathererAge.
	_maxDirectWait = time.Second
	// _maxGathererAge is the time since a gatherer's last answer from the platform above
	// which its peers read the platform themselves.
	_maxGathererAge = 1300 * time.Millisecond
	// _gathererTimeout is how long a process waits for an answer of its gatherer before
	// it reads the platform itself.
	_gathererTimeout = 700 * time.Millisecond
)

// Source reads the objects of one kind, and learns of their changes through the
// gatherer where another process is the gatherer. It is a reflector.Source.
type Source struct {
	sharer *Sharer
	kind   string
	direct reflector.Source[[]byte]

	// The sharer's lock guards the fields below.
	history history
	// waitingAfter is the revision after which the reflector waits for changes.
	waitingAfter uint64
	// received holds the changes that the gatherer sent; nil once the reflector has them.
	received *reflector.Changes[[]byte]
	// confirmedAt is when the gatherer last answered with an up-to-date state.
	confirmedAt time.Time
	// refusedAt is when the gatherer last answered that it does not know the changes, or
	// with a state that was too old.
	refusedAt time.Time
	// updated is closed, and replaced, when the gatherer has answered.
	updated chan struct{}
}

// Source returns a source of a kind that reads from direct where the gatherer cannot
// be used. Call it before Run.
func (s *Sharer) Source(kind string, direct reflector.Source[[]byte]) *Source {
	x := &Source{sharer: s, kind: kind, direct: direct, updated: make(chan struct{})}
	s.sources = append(s.sources, x)
	return x
}

// List reads all objects from the platform.
func (x *Source) List(ctx context.Context) (reflector.Listing[[]byte], error) {
	l, err := x.direct.List(ctx)
	if err == nil {
		x.sharer.mu.Lock()
		x.history.reset(l.Revision, time.Now())
		x.sharer.mu.Unlock()
	}
	return l, err
}

// Watch waits up to wait for changes after revision after. It reads the platform itself
// where the gatherer does not provide them.
func (x *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (reflector.Changes[[]byte], error) {
	if x.sharer.FollowsGatherer() {
		if c, ok := x.awaitGatherer(ctx, after, wait); ok {
			return c, nil
		}
		wait = min(wait, _gathererTimeout)
	}
	if x.sharer.IsRunning() {
		wait = min(wait, _maxDirectWait)
	}
	c, err := x.direct.Watch(ctx, after, wait)
	if err == nil {
		x.sharer.mu.Lock()
		x.history.add(after, c.Revision, c.Changes, time.Now())
		x.sharer.mu.Unlock()
	}
	return c, err
}

// awaitGatherer waits up to wait for the gatherer to send changes after revision after,
// and returns none if there were none by then. It returns false where the gatherer did
// not answer or cannot provide the changes.
func (x *Source) awaitGatherer(ctx context.Context, after uint64, wait time.Duration) (reflector.Changes[[]byte], bool) {
	start := time.Now()
	x.sharer.mu.Lock()
	x.waitingAfter, x.received = after, nil
	x.sharer.mu.Unlock()
	for {
		x.sharer.mu.Lock()
		received, confirmedAt, refusedAt, updated := x.received, x.confirmedAt, x.refusedAt, x.updated
		x.received = nil
		x.sharer.mu.Unlock()
		if received != nil {
			return *received, true
		}
		now := time.Now()
		end := start.Add(wait)
		deadline := confirmedAt.Add(_gathererTimeout)
		if confirmedAt.Before(start) {
			deadline = start.Add(_gathererTimeout)
		}
		switch {
		case !now.Before(deadline) || refusedAt.After(start) || ctx.Err() != nil:
			return reflector.Changes[[]byte]{}, false
		case !now.Before(end):
			return reflector.Changes[[]byte]{Revision: after}, confirmedAt.After(start)
		}
		t := time.NewTimer(min(end.Sub(now), deadline.Sub(now)))
		select {
		case <-updated:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// receive records the gatherer's answer about this kind; the caller holds the sharer's
// lock.
func (x *Source) receive(f *wire.Following, now time.Time) {
	age := time.Duration(f.GetAgeMs()) * time.Millisecond
	switch {
	case f.GetRevision() < x.waitingAfter:
		// The gatherer has not read up to the reflector's revision yet.
		return
	case f.GetUnknown() || age > _maxGathererAge:
		x.refusedAt = now
	default:
		x.confirmedAt = now
		if f.GetRevision() > x.waitingAfter || len(f.GetChanges()) > 0 {
			x.received = &reflector.Changes[[]byte]{Revision: f.GetRevision(), Changes: decodeChanges(f.GetChanges())}
		}
	}
	close(x.updated)
	x.updated = make(chan struct{})
}
