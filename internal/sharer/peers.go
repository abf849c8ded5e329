package sharer

import (
	"cmp"
	"slices"
	"time"
)

// Peer is a process that shares state with this one.
type Peer struct {
	Name       string
	DataCentre string
	// Address is the IP address and port for messages between peers, as host:port;
	// empty where the process accepts none.
	Address string
}

const (
	// _minBackoff and _maxBackoff bound the time for which a peer that did not answer is
	// skipped; it doubles with each failure.
	_minBackoff = time.Second
	_maxBackoff = 8 * time.Second
)

// backoff says until when a peer that did not answer is skipped.
type backoff struct {
	until time.Time
	wait  time.Duration
}

// gathererSelector selects the gatherer of each data centre: the first process by name
// that is not skipped after a failure. The zero value is ready for use.
type gathererSelector struct {
	backoffs map[string]backoff
}

// gatherers returns the gatherer of each data centre; the process named self is never
// skipped.
func (g *gathererSelector) gatherers(peers []Peer, self string, now time.Time) map[string]Peer {
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	out := make(map[string]Peer)
	for _, p := range sorted {
		if _, ok := out[p.DataCentre]; ok || p.Address == "" {
			continue
		}
		if p.Name == self || !now.Before(g.backoffs[p.Name].until) {
			out[p.DataCentre] = p
		}
	}
	return out
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

// recordAnswer ends the backoff of a peer that answered, and reports whether there was
// one.
func (g *gathererSelector) recordAnswer(name string) bool {
	_, ok := g.backoffs[name]
	delete(g.backoffs, name)
	return ok
}
