package sharer

import (
	"cmp"
	"slices"
	"time"
)

// Peer is a process that can be reached.
type Peer struct {
	Name       string
	DataCentre string
	// Address is host:port by IP number, for peers.
	Address string
}

const (
	// _shunFirst and _shunMost bound how long a peer that did not answer is passed
	// over; the time doubles.
	_shunFirst = time.Second
	_shunMost  = 8 * time.Second
)

// shunned is when a peer that did not answer is tried again.
type shunned struct {
	until time.Time
	wait  time.Duration
}

// circle tells who gathers for each data centre: the first by name that answers.
// The zero value is ready for use.
type circle struct {
	shuns map[string]shunned
}

// gatherers returns the process that gathers for each data centre; self always
// counts as one that answers.
func (c *circle) gatherers(peers []Peer, self string, now time.Time) map[string]Peer {
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	out := make(map[string]Peer)
	for _, p := range sorted {
		if _, ok := out[p.DataCentre]; ok || p.Address == "" {
			continue
		}
		if p.Name == self || !now.Before(c.shuns[p.Name].until) {
			out[p.DataCentre] = p
		}
	}
	return out
}

// failed notes a peer that did not answer.
func (c *circle) failed(name string, now time.Time) {
	if c.shuns == nil {
		c.shuns = make(map[string]shunned)
	}
	s := c.shuns[name]
	s.wait = min(max(2*s.wait, _shunFirst), _shunMost)
	s.until = now.Add(s.wait)
	c.shuns[name] = s
}

// answered notes a peer that answered, and says whether it had not before.
func (c *circle) answered(name string) bool {
	_, ok := c.shuns[name]
	delete(c.shuns, name)
	return ok
}
