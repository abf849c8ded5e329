package chooser

import (
	"sync"
	"time"
)

const (
	// _firstRest is how long an upstream rests after its first refusal.
	_firstRest = time.Second
	// _longestRest bounds the rest after many refusals in a row.
	_longestRest = 30 * time.Second
)

// Upstream is one server of a service.
type Upstream struct {
	Name       string
	Address    string // host:port
	DataCentre string
	Draining   bool // it takes no new calls
}

// Reason says why an upstream was chosen.
type Reason string

// Reasons of a choice.
const (
	LeastInFlight   Reason = "least-in-flight"
	OtherDataCentre Reason = "other-data-centre"
	AllBackingOff   Reason = "all-resting"
)

// Choice is a chosen upstream.
type Choice struct {
	Upstream Upstream
	Reason   Reason
}

// Chooser keeps what calls have shown of each upstream. The zero value is ready
// for use. It is safe for concurrent use.
type Chooser struct {
	mu     sync.Mutex
	states map[string]state // by address
	turn   int
}

// state is what is known of one upstream; the zero value is an idle one that
// never refused.
type state struct {
	inFlight int
	refusals int // in a row
	restsTo  time.Time
}

// rank orders candidates; the lesser one is better.
type rank struct {
	resting  bool
	far      bool
	restsTo  time.Time
	inFlight int
}

func (r rank) before(o rank) bool {
	if r.resting != o.resting {
		return !r.resting
	}
	if r.resting && !r.restsTo.Equal(o.restsTo) {
		return r.restsTo.Before(o.restsTo)
	}
	if r.far != o.far {
		return !r.far
	}
	return r.inFlight < o.inFlight
}

// Choose picks an upstream whose address was not tried, and counts a call in
// flight there until Done. It returns false where none may be chosen.
func (c *Chooser) Choose(now time.Time, dataCentre string, upstreams []Upstream, tried map[string]bool) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	best, found := -1, false
	var bestRank rank
	for i := range upstreams {
		// Equals take turns, since the first one found wins.
		at := (i + c.turn) % len(upstreams)
		u := upstreams[at]
		if u.Draining || tried[u.Address] {
			continue
		}
		if r := c.rank(now, dataCentre, u); !found || r.before(bestRank) {
			best, bestRank, found = at, r, true
		}
	}
	if !found {
		return Choice{}, false
	}
	u := upstreams[best]
	s := c.states[u.Address]
	s.inFlight++
	c.keep(u.Address, s)
	return Choice{Upstream: u, Reason: bestRank.reason()}, true
}

func (c *Chooser) rank(now time.Time, dataCentre string, u Upstream) rank {
	s := c.states[u.Address]
	r := rank{resting: now.Before(s.restsTo), far: u.DataCentre != dataCentre, inFlight: s.inFlight}
	if r.resting {
		r.restsTo = s.restsTo
	}
	return r
}

func (r rank) reason() Reason {
	switch {
	case r.resting:
		return AllBackingOff
	case r.far:
		return OtherDataCentre
	}
	return LeastInFlight
}

// Done ends a chosen call; refused says that the upstream took no connection.
func (c *Chooser) Done(now time.Time, address string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[address]
	s.inFlight--
	if refused {
		s.restsTo = now.Add(min(_firstRest<<min(s.refusals, 10), _longestRest))
		s.refusals++
	} else {
		s.refusals, s.restsTo = 0, time.Time{}
	}
	c.keep(address, s)
}

// keep stores a state, or forgets one that says nothing.
func (c *Chooser) keep(address string, s state) {
	if s == (state{}) {
		delete(c.states, address)
		return
	}
	if c.states == nil {
		c.states = make(map[string]state)
	}
	c.states[address] = s
}
