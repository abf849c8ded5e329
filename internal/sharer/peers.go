package sharer

import (
	"cmp"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
)

const (
	// _minBackoff and _maxBackoff bound the time for which a peer that did not answer is
	// skipped; it doubles with each failure.
	_minBackoff = time.Second
	_maxBackoff = 8 * time.Second
	// _unavailableBackoff is the time for which a gatherer that can't read the platform is
	// not the reader.
	_unavailableBackoff = 4 * time.Second
)

// backoff says until when a peer that did not answer is skipped.
type backoff struct {
	until time.Time
	wait  time.Duration
}

// gathererSelector selects the gatherer of each data centre: the process with the
// largest share of a processor, and the first of these by name, that is not skipped
// after a failure. The zero value is ready for use.
type gathererSelector struct {
	backoffs map[string]backoff
	// unavailableUntil says until when a gatherer that can't read the platform is not the
	// reader.
	unavailableUntil map[string]time.Time
}

// gatherers returns the gatherer of each data centre; the process named self is never
// skipped.
func (g *gathererSelector) gatherers(peers []enumerator.Peer, self string, now time.Time) map[string]enumerator.Peer {
	out := make(map[string]enumerator.Peer)
	for _, p := range peers {
		if p.Address == "" || p.Name != self && now.Before(g.backoffs[p.Name].until) {
			continue
		}
		if best, ok := out[p.DataCentre]; !ok || compareGatherers(p, best) < 0 {
			out[p.DataCentre] = p
		}
	}
	return out
}

// reader returns the first of the gatherers by their order that has answered since its
// last failure; the zero Peer where there is none. A gatherer that is merely tried again
// is not depended on yet, nor is one that can't read the platform.
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
