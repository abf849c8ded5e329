package servicebalancer

import (
	"sync"
	"time"
)

const (
	// _initialBackoff is the backoff of an upstream after its first refusal.
	_initialBackoff = time.Second
	// _maxBackoff bounds the backoff after many refusals in a row.
	_maxBackoff = 30 * time.Second
)

// Upstream is one server of a service.
type Upstream struct {
	Name       string
	Address    string // host:port
	DataCentre string
	Draining   bool // takes no new calls
}

// Reason says why an upstream was chosen.
type Reason string

// Reasons for a choice.
const (
	LeastInFlight   Reason = "least-in-flight"
	OtherDataCentre Reason = "other-data-centre"
	AllBackingOff   Reason = "all-resting"
)

// Choice is a chosen upstream and the reason for it.
type Choice struct {
	Upstream Upstream
	Reason   Reason
}

// Balancer chooses upstreams by the calls in flight and the refusals of each. The
// zero value is ready for use. It is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	states map[string]state // by address
	// start is the index at which Choose starts its search, modulo the number of
	// upstreams. It grows by one with each call.
	start int
}

// state is what is known of one upstream. The zero value stands for an upstream
// with no call in flight whose latest connection was not refused.
type state struct {
	inFlight     int
	refusals     int // in a row
	backoffUntil time.Time
}

// rank is what Choose compares to order the candidates for a call.
type rank struct {
	backingOff bool
	// remote is true for an upstream in another data centre.
	remote       bool
	backoffUntil time.Time
	inFlight     int
}

// before returns true if r is a better choice than o.
func (r rank) before(o rank) bool {
	if r.backingOff != o.backingOff {
		return !r.backingOff
	}
	if r.backingOff && !r.backoffUntil.Equal(o.backoffUntil) {
		return r.backoffUntil.Before(o.backoffUntil)
	}
	if r.remote != o.remote {
		return !r.remote
	}
	return r.inFlight < o.inFlight
}

// Choose chooses an upstream whose address is not in tried, and counts a call in
// flight there until Done is called. dataCentre is the data centre of this process.
// Choose returns false if every upstream is draining or was tried.
func (b *Balancer) Choose(now time.Time, dataCentre string, upstreams []Upstream, tried map[string]bool) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start++
	best, found := -1, false
	var bestRank rank
	for i := range upstreams {
		// The first of several equals is chosen. The search starts at another
		// upstream each time, so that equals are chosen equally often.
		at := (i + b.start) % len(upstreams)
		u := upstreams[at]
		if u.Draining || tried[u.Address] {
			continue
		}
		if r := b.rank(now, dataCentre, u); !found || r.before(bestRank) {
			best, bestRank, found = at, r, true
		}
	}
	if !found {
		return Choice{}, false
	}
	u := upstreams[best]
	s := b.states[u.Address]
	s.inFlight++
	b.setState(u.Address, s)
	return Choice{Upstream: u, Reason: bestRank.reason()}, true
}

func (b *Balancer) rank(now time.Time, dataCentre string, u Upstream) rank {
	s := b.states[u.Address]
	r := rank{backingOff: now.Before(s.backoffUntil), remote: u.DataCentre != dataCentre, inFlight: s.inFlight}
	if r.backingOff {
		r.backoffUntil = s.backoffUntil
	}
	return r
}

// reason returns why an upstream of this rank is chosen, if it is the best one.
func (r rank) reason() Reason {
	switch {
	case r.backingOff:
		return AllBackingOff
	case r.remote:
		return OtherDataCentre
	}
	return LeastInFlight
}

// Done ends a call to the upstream at address. refused is true if the upstream
// refused the connection, which starts or prolongs the upstream's backoff. Any other
// outcome ends the backoff.
func (b *Balancer) Done(now time.Time, address string, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[address]
	s.inFlight--
	if refused {
		s.backoffUntil = now.Add(min(_initialBackoff<<min(s.refusals, 10), _maxBackoff))
		s.refusals++
	} else {
		s.refusals, s.backoffUntil = 0, time.Time{}
	}
	b.setState(address, s)
}

// setState stores the state of an upstream, or deletes it if it is the zero state,
// so that the map does not grow with addresses that are no longer used.
func (b *Balancer) setState(address string, s state) {
	if s == (state{}) {
		delete(b.states, address)
		return
	}
	if b.states == nil {
		b.states = make(map[string]state)
	}
	b.states[address] = s
}
