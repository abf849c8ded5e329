package balancer

import (
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

const (
	// _remoteCost is what an upstream of another data centre counts more, in
	// requests in flight.
	_remoteCost = 0.6
	// _fullFor is how long an upstream that refused a request for want of room
	// is passed over.
	_fullFor = 150 * time.Millisecond
	// _silentFor is how long an upstream that fell silent is passed over, unless
	// it is heard of before.
	_silentFor = 3 * time.Second
)

// Query is what a choice depends on besides the candidates.
type Query struct {
	Now        time.Time
	DataCentre string
	// Limit is the largest number of requests in flight at one upstream.
	Limit int
	// Avoid is the upstreams that the request was at before.
	Avoid []string
	// Draw is a random number from 0 up to 1 that breaks ties.
	Draw float64
}

// Reason tells why no upstream was chosen.
type Reason string

// Reasons.
const (
	ReasonNone   Reason = "no-upstream"
	ReasonFull   Reason = "all-full"
	ReasonSilent Reason = "all-silent"
)

// Balancer keeps account of upstreams. The zero value is ready for use. It is
// safe for concurrent use.
type Balancer struct {
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	inFlight int
	// heard is when the upstream last sent anything.
	heard time.Time
	// silent and full are until when the upstream is passed over.
	silent time.Time
	full   time.Time
}

// Take chooses the candidate with the least in flight and takes a place there.
// Where there is none, the reason tells why. Give the place back with Release.
func (b *Balancer) Take(candidates []cataloguer.Upstream, q Query) (cataloguer.Upstream, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, reason := b.choose(candidates, q)
	if i < 0 {
		return cataloguer.Upstream{}, reason
	}
	b.load(candidates[i].ID).inFlight++
	return candidates[i], ""
}

// Room says that Take would choose a candidate.
func (b *Balancer) Room(candidates []cataloguer.Upstream, q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, _ := b.choose(candidates, q)
	return i >= 0
}

// choose returns the index of the best candidate, or -1 and why there is none;
// the lock is held.
func (b *Balancer) choose(candidates []cataloguer.Upstream, q Query) (int, Reason) {
	var best []int
	least := 0.0
	reason := ReasonNone
	for i := range candidates {
		u := &candidates[i]
		if u.Draining || avoided(q.Avoid, u.ID) {
			continue
		}
		l := b.load(u.ID)
		switch {
		case q.Now.Before(l.silent):
			if reason == ReasonNone {
				reason = ReasonSilent
			}
			continue
		case q.Now.Before(l.full) || q.Limit > 0 && l.inFlight >= q.Limit:
			reason = ReasonFull
			continue
		}
		cost := float64(l.inFlight)
		if u.DataCentre != q.DataCentre {
			cost += _remoteCost
		}
		if best == nil || cost < least {
			best, least = best[:0], cost
		}
		if cost == least {
			best = append(best, i)
		}
	}
	if len(best) == 0 {
		return -1, reason
	}
	return best[int(q.Draw*float64(len(best)))], ""
}

func avoided(list []string, id string) bool {
	for _, a := range list {
		if a == id {
			return true
		}
	}
	return false
}

// load returns the account of an upstream; the lock is held.
func (b *Balancer) load(id string) *load {
	l := b.loads[id]
	if l == nil {
		if b.loads == nil {
			b.loads = make(map[string]*load)
		}
		l = &load{}
		b.loads[id] = l
	}
	return l
}

// Release gives a place back.
func (b *Balancer) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).inFlight--
}

// Heard notes that an upstream sent something.
func (b *Balancer) Heard(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.heard = now
	l.silent = time.Time{}
}

// LastHeard returns when an upstream last sent something.
func (b *Balancer) LastHeard(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(id).heard
}

// Silent notes that an upstream does not answer.
func (b *Balancer) Silent(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).silent = now.Add(_silentFor)
}

// Full notes that an upstream refused a request for want of room.
func (b *Balancer) Full(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).full = now.Add(_fullFor)
}

// InFlight returns the requests in flight at all upstreams.
func (b *Balancer) InFlight() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, l := range b.loads {
		n += l.inFlight
	}
	return int64(n)
}

// Forget drops the accounts of upstreams that are gone and have nothing in
// flight.
func (b *Balancer) Forget(fleet *cataloguer.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		if _, ok := fleet.Upstreams[id]; !ok && l.inFlight == 0 {
			delete(b.loads, id)
		}
	}
}
