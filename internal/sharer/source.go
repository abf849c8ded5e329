package sharer

import (
	"context"
	"errors"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _maxDirectWait is the longest wait of one watch on the platform. A gatherer tells
	// its peers the time since the platform's last answer, which must stay below
	// _maxGathererAge, also where it has learned of that through another gatherer.
	_maxDirectWait = 500 * time.Millisecond
	// _maxGathererAge is the time since a gatherer's last answer from the platform above
	// which its peers read the platform themselves.
	_maxGathererAge = 1300 * time.Millisecond
	// _gathererTimeout is how long a process waits for an answer of its gatherer before
	// it reads the platform itself.
	_gathererTimeout = 700 * time.Millisecond
	// _minPeerWait is how long a process that has not learned of changes for longer than
	// _gathererTimeout waits for its gatherer: a round and its answer.
	_minPeerWait = _roundInterval + 50*time.Millisecond
	// _rolePollInterval is how often a process that waits for all objects checks whether
	// it has become known which process is the gatherer.
	_rolePollInterval = 50 * time.Millisecond
	// _probeWait is how long one read waits for the probe to reach the platform again.
	_probeWait = 2 * time.Second
	// _probeMemory is how long a failed read of the probe counts, unless another follows: a
	// probe whose kind comes from a peer reads no more.
	_probeMemory = 2500 * time.Millisecond
	// _recheckWait is how long a watch waits for changes where the last read has failed, or
	// nothing was learned for _gathererTimeout. An answer then shows soon that the platform is
	// back, and a connection that is dead is given up sooner.
	_recheckWait = 50 * time.Millisecond
)

// errProbeFailed says that a read was not made because the platform does not answer.
var errProbeFailed = errors.New("sharer: platform does not answer reads of another kind")

// Source reads the objects of one kind, and learns of them and of their changes through
// the gatherer where another process is the gatherer. It is a reflector.Source.
type Source struct {
	// ReadsDirectly reports whether this process reads the kind from the platform itself
	// even where it could follow a peer; nil means never. Set it before Run.
	ReadsDirectly func() bool
	// Probe is the source of another kind, which shows whether the platform answers: while
	// it does not, this one leaves it alone. Without it, each kind adds its own calls to the
	// load of a platform in trouble, from every process. It may be nil; set it before Run.
	Probe *Source

	// IsOlder reports whether a value of an object is of an earlier version than a known one.
	// Such a value is not taken: the platform may have come back from an older copy, and a
	// process that starts meanwhile must not learn of an earlier version either. It may be nil;
	// set it before Run.
	IsOlder func(name string, value, known []byte) bool

	sharer *Sharer
	kind   string
	direct reflector.Source[[]byte]

	// The sharer's lock guards the fields below.
	history history
	copy    objectCopy
	packed  packedAnswers
	// unavailable is true if the last read from the platform has failed.
	unavailable bool
	// failedAt is when a read from the platform last failed; zero after one that did not.
	failedAt time.Time
	// wantsList is true while the reflector waits for all objects.
	wantsList bool
	// listing holds the objects that the gatherer sent; nil once the reflector has them.
	listing *reflector.Listing[[]byte]
	// waitingAfter is the revision after which the reflector waits for changes.
	waitingAfter uint64
	// received holds the changes that the gatherer sent; nil once the reflector has them.
	received *reflector.Changes[[]byte]
	// confirmedAt is when the gatherer last answered with an up-to-date state, and
	// confirmedAsOf is when that state was read from the platform.
	confirmedAt, confirmedAsOf time.Time
	// refusedAt is when the gatherer last answered that it does not know the objects or
	// their changes, or with a state that was too old.
	refusedAt time.Time
	// updated is closed, and replaced, when the gatherer has answered or another process has
	// become the gatherer.
	updated chan struct{}
	// answeredBy is the peer that has answered last, and provider names the peer from which the
	// latest objects or changes came, or the platform.
	answeredBy, provider string
}

// _platformProvider is the provider of what this process has read from the platform itself.
const _platformProvider = "platform"

// setProvider records from where objects or changes came that this process began to wait for
// at since, and logs it where it differs from before. The caller holds the sharer's lock.
func (x *Source) setProvider(name string, revision uint64, since time.Time) {
	if x.provider == name {
		return
	}
	x.sharer.Log.Event("provider", logger.Fields{
		"kind": x.kind, "provider": name, "before": x.provider, "revision": revision, "waited_ms": time.Since(since).Milliseconds(),
	})
	x.provider = name
}

// Source returns a source of a kind that reads from direct where the gatherer cannot
// be used. Call it before Run.
func (s *Sharer) Source(kind string, direct reflector.Source[[]byte]) *Source {
	x := &Source{sharer: s, kind: kind, direct: direct, updated: make(chan struct{})}
	s.sources = append(s.sources, x)
	return x
}

// List returns all objects: those that the gatherer has, or where it has none to give,
// those that the platform lists.
func (x *Source) List(ctx context.Context) (reflector.Listing[[]byte], error) {
	start := time.Now()
	if l, ok := x.awaitListing(ctx); ok {
		return l, nil
	}
	if err := x.awaitProbe(ctx, _probeWait); err != nil {
		return reflector.Listing[[]byte]{}, err
	}
	l, err := x.direct.List(ctx)
	x.sharer.mu.Lock()
	defer x.sharer.mu.Unlock()
	x.recordRead(err)
	if err == nil {
		now := time.Now()
		x.setProvider(_platformProvider, l.Revision, start)
		x.keepLaterVersions(l.Values)
		x.history.reset(l.Revision, now)
		x.copy.reset(l, now)
	}
	return l, err
}

// awaitListing waits for the gatherer to send all objects. It returns false where this
// process reads the platform, or the gatherer does not send them in time. At its start a
// gatherer lists the objects itself, since all processes of its data centre wait for it.
func (x *Source) awaitListing(ctx context.Context) (reflector.Listing[[]byte], bool) {
	s, start := x.sharer, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline := start.Add(_gathererTimeout)
	isFirst := x.confirmedAt.IsZero() && x.history.readAt.IsZero()
	if isFirst {
		deadline = start.Add(_startTimeout)
	}
	x.wantsList, x.listing = true, nil
	defer func() { x.wantsList = false }()
	s.wakeRun()
	for {
		now := time.Now()
		switch {
		case s.selected && s.gatherer == "" && isFirst:
			return reflector.Listing[[]byte]{}, false
		case x.listing != nil:
			l := *x.listing
			x.listing = nil
			x.setProvider(x.answeredBy, l.Revision, start)
			return l, true
		case s.Peerless, s.selected && !x.follows(), x.refusedAt.After(start), !now.Before(deadline), ctx.Err() != nil:
			return reflector.Listing[[]byte]{}, false
		}
		x.awaitUpdate(ctx, min(_rolePollInterval, deadline.Sub(now)))
	}
}

// follows reports whether this process learns of the kind's changes through a peer. The
// caller holds the sharer's lock.
func (x *Source) follows() bool {
	return x.sharer.followsPeer() && (x.ReadsDirectly == nil || !x.ReadsDirectly())
}

// notifyUpdated ends the waits of awaitUpdate. The caller holds the sharer's lock.
func (x *Source) notifyUpdated() {
	close(x.updated)
	x.updated = make(chan struct{})
}

// awaitUpdate waits for an answer of the gatherer, or for another process to become the gatherer,
// at most for d. The caller holds the sharer's lock, which is released meanwhile.
func (x *Source) awaitUpdate(ctx context.Context, d time.Duration) {
	updated := x.updated
	x.sharer.mu.Unlock()
	defer x.sharer.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-updated:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Watch waits up to wait for changes after revision after. It reads the platform itself
// where the gatherer does not provide them.
func (x *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (reflector.Changes[[]byte], error) {
	start := time.Now()
	x.sharer.mu.Lock()
	follows := x.follows()
	x.sharer.mu.Unlock()
	probeWait := _probeWait
	if follows {
		if c, ok := x.awaitChanges(ctx, after, wait); ok {
			return c, nil
		}
		wait = min(wait, _gathererTimeout)
		// The peer may be able to read the platform before this process is.
		probeWait = 0
	}
	if x.sharer.IsRunning() {
		wait = min(wait, _maxDirectWait)
	}
	if err := x.awaitProbe(ctx, probeWait); err != nil {
		return reflector.Changes[[]byte]{}, err
	}
	if x.isUnavailable() || follows && x.isBehind() {
		wait = min(wait, _recheckWait)
	}
	c, err := x.direct.Watch(ctx, after, wait)
	x.sharer.mu.Lock()
	defer x.sharer.mu.Unlock()
	x.recordRead(err)
	if err == nil {
		now := time.Now()
		x.setProvider(_platformProvider, c.Revision, start)
		c.Changes = x.withoutEarlierVersions(c.Changes)
		x.history.add(after, c.Revision, c.Changes, now)
		x.copy.apply(after, c.Revision, c.Changes, now)
	}
	return c, err
}

// awaitChanges waits up to wait for the gatherer to send changes after revision after,
// and returns none if there were none by then. It returns false where the gatherer did
// not answer or cannot provide the changes.
func (x *Source) awaitChanges(ctx context.Context, after uint64, wait time.Duration) (reflector.Changes[[]byte], bool) {
	start := time.Now()
	end := start.Add(wait)
	x.sharer.mu.Lock()
	defer x.sharer.mu.Unlock()
	if x.waitingAfter != after {
		x.waitingAfter, x.received = after, nil
	}
	for {
		if x.received != nil {
			c := *x.received
			x.received = nil
			x.setProvider(x.answeredBy, c.Revision, start)
			x.copy.apply(after, c.Revision, c.Changes, x.confirmedAsOf)
			if x.sharer.gatherer == "" {
				x.history.add(after, c.Revision, c.Changes, x.confirmedAsOf)
			}
			return c, true
		}
		now, deadline := time.Now(), x.peerDeadline(start)
		switch {
		case !now.Before(deadline) || x.refusedAt.After(start) || ctx.Err() != nil || !x.follows():
			return reflector.Changes[[]byte]{}, false
		case !now.Before(end):
			return reflector.Changes[[]byte]{Revision: after}, x.confirmedAt.After(start)
		}
		x.awaitUpdate(ctx, min(end.Sub(now), deadline.Sub(now)))
	}
}

// peerDeadline returns the end of a wait for a peer that began at start: _gathererTimeout after
// this process last learned of changes from the peer or the platform, so that waits that follow
// each other don't add up, and _minPeerWait after start at the earliest. The caller holds the
// sharer's lock.
func (x *Source) peerDeadline(start time.Time) time.Time {
	deadline, earliest := x.learnedAt().Add(_gathererTimeout), start.Add(_minPeerWait)
	if deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// learnedAt returns when this process last learned of changes from a peer or the platform. The
// caller holds the sharer's lock.
func (x *Source) learnedAt() time.Time {
	if x.history.readAt.After(x.confirmedAt) {
		return x.history.readAt
	}
	return x.confirmedAt
}

// isBehind reports whether this process has not learned of changes for _gathererTimeout.
func (x *Source) isBehind() bool {
	x.sharer.mu.Lock()
	defer x.sharer.mu.Unlock()
	return time.Since(x.learnedAt()) >= _gathererTimeout
}

// request returns what this process asks its gatherer about the kind. The caller holds
// the sharer's lock.
func (x *Source) request() *wire.Following {
	f := &wire.Following{Kind: x.kind, AcceptsPacked: true}
	if x.wantsList {
		f.List = true
	} else {
		f.Revision = x.waitingAfter
	}
	return f
}

// isTrusted reports whether an answer is of a process that reads the platform at present.
func isTrusted(answer *wire.Following) bool {
	return !answer.GetUnavailable() && time.Duration(answer.GetAgeMs())*time.Millisecond <= _maxGathererAge
}

// receive records the gatherer's answer to a request about this kind. The caller holds
// the sharer's lock.
func (x *Source) receive(request, answer *wire.Following, now time.Time) error {
	if request.GetList() != x.wantsList || request.GetRevision() != x.waitingAfter && !x.wantsList {
		// The reflector has begun to wait for something else since.
		return nil
	}
	if answer.GetRevision() < request.GetRevision() || request.GetList() && answer.GetRevision() == 0 && !answer.GetUnknown() {
		// The gatherer has not read that far yet.
		return nil
	}
	defer x.notifyUpdated()
	if answer.GetUnknown() || !isTrusted(answer) {
		x.refusedAt = now
		return nil
	}
	age := time.Duration(answer.GetAgeMs()) * time.Millisecond
	changes, err := changesOf(answer)
	if err != nil {
		x.refusedAt = now
		return err
	}
	if x.refusedAt.After(x.confirmedAt) || now.Sub(x.confirmedAt) > _gathererTimeout {
		x.sharer.notifyRecovered()
	}
	x.confirmedAt, x.confirmedAsOf = now, now.Add(-age)
	switch {
	case request.GetList():
		l := listingOf(answer.GetRevision(), changes)
		x.history.reset(l.Revision, x.confirmedAsOf)
		x.copy.reset(l, x.confirmedAsOf)
		x.listing = &l
	case answer.GetRevision() > x.waitingAfter || len(changes) > 0:
		x.received = &reflector.Changes[[]byte]{Revision: answer.GetRevision(), Changes: decodeChanges(changes)}
	default:
		x.history.confirm(x.waitingAfter, x.confirmedAsOf)
		x.copy.confirm(x.waitingAfter, x.confirmedAsOf)
	}
	return nil
}

// listingOf returns the listing that an answer with all objects carries.
func listingOf(revision uint64, objects []*wire.ObjectChange) reflector.Listing[[]byte] {
	l := reflector.Listing[[]byte]{Values: make(map[string][]byte, len(objects)), Revision: revision}
	for _, o := range objects {
		l.Values[o.GetName()] = o.GetValue()
	}
	return l
}
