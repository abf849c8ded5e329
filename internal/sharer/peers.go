package sharer

import (
	"cmp"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
)

const (
	// _minBackoff and _maxBackoff bound the time after which a peer that did not answer is
	// tried again; it doubles with each failure.
	_minBackoff = time.Second
	_maxBackoff = 8 * time.Second
	// _unavailableBackoff is the time for which a gatherer that can't read the platform is
	// not the reader.
	_unavailableBackoff = 4 * time.Second
)

// backoff says until when a peer that did not answer is not tried again.
type backoff struct {
	until time.Time
	wait  time.Duration
}

// gathererSelector selects the gatherer of each data centre: the process with the
// largest share of a processor, and the first of these by name, that has answered since its
// last failure. The zero value is ready for use.
type gathererSelector struct {
	backoffs map[string]backoff
	// unavailableUntil says until when a gatherer that can't read the platform is not the
	// reader.
	unavailableUntil map[string]time.Time
}

// gatherers returns the gatherer of each data centre. Where each process of one has failed, it
// is the first of those whose backoff has ended; the process named self never fails.
func (g *gathererSelector) gatherers(peers []enumerator.Peer, self string, now time.Time) map[string]enumerator.Peer {
	out, failed := make(map[string]enumerator.Peer), make(map[string]enumerator.Peer)
	for _, p := range peers {
		if p.Address == "" {
			continue
		}
		x, hasFailed := g.backoffs[p.Name]
		switch {
		case !hasFailed || p.Name == self:
			addFirst(out, p)
		case !now.Before(x.until):
			addFirst(failed, p)
		}
	}
	for centre, p := range failed {
		if _, ok := out[centre]; !ok {
			out[centre] = p
		}
	}
	return out
}

// addFirst makes a process the gatherer of its data centre, unless there is one that is
// preferred.
func addFirst(gatherers map[string]enumerator.Peer, p enumerator.Peer) {
	if first, ok := gatherers[p.DataCentre]; !ok || compareGatherers(p, first) < 0 {
		gatherers[p.DataCentre] = p
	}
}

// retries returns the peers that failed, whose backoff has ended, and that are preferred to the
// gatherers in their place.
func (g *gathererSelector) retries(peers []enumerator.Peer, gatherers map[string]enumerator.Peer, now time.Time) []enumerator.Peer {
	var out []enumerator.Peer
	for _, p := range peers {
		x, hasFailed := g.backoffs[p.Name]
		if hasFailed && !now.Before(x.until) && compareGatherers(p, gatherers[p.DataCentre]) < 0 {
			out = append(out, p)
		}
	}
	return out
}

// beginRetry keeps a peer from being tried again while it may still answer.
func (g *gathererSelector) beginRetry(name string, end time.Time) {
	b := g.backoffs[name]
	b.until = end
	g.backoffs[name] = b
}

// reader returns the first of the gatherers by their order that has answered since its
// last failure; the zero Peer where there is none. One that can't read the platform is not
// depended on.
func (g *gathererSelector) reader(gatherers map[string]enumerator.Peer, now time.Time) enumerator.Peer {
	var first enumerator.Peer
	for _, p := range gatherers {
		if _, failed := g.backoffs[p.Name]; failed || now.Before(g.unavailableUntil[p.Name]) {
			continue
		}
		if first.Name == "" || compareGatherers(p, first) < 0 {
			first = p
		}
	}
	return first
}

// compareGatherers returns a negative number if a is preferred to b as a gatherer.
func compareGatherers(a, b enumerator.Peer) int {
	return cmp.Or(cmp.Compare(b.ProcessorShare, a.ProcessorShare), cmp.Compare(a.Name, b.Name))
}

// recordFailure starts or doubles the backoff of a peer that did not answer.
func (g *gathererSelector) recordFailure(name string, now time.Time) {
	if g.backoffs == nil {
		g.backoffs = make(map[string]backoff)
	}
	b := g.backoffs[name]
	b.wait = min(max(2*b.wait, _minBackoff), _maxBackoff)
	b.until = now.Add(b.wait)
	g.backoffs[name] = b
}

// recordUnavailable records that a gatherer can't read the platform.
func (g *gathererSelector) recordUnavailable(name string, now time.Time) {
	if g.unavailableUntil == nil {
		g.unavailableUntil = make(map[string]time.Time)
	}
	g.unavailableUntil[name] = now.Add(_unavailableBackoff)
}

// recordAnswer ends the backoff of a peer that answered, and reports whether there was
// one.
func (g *gathererSelector) recordAnswer(name string) bool {
	_, ok := g.backoffs[name]
	delete(g.backoffs, name)
	return ok
}
