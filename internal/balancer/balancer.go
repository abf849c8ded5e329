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
	// _toldFor is that time for a silence that others see; they tell it again while
	// it lasts.
	_toldFor = 700 * time.Millisecond
	// _lately is how long what was heard of an upstream goes before what others tell.
	_lately = 400 * time.Millisecond
)

// Query is what a choice depends on besides the candidates.
type Query struct {
	Now        time.Time
	DataCentre string
	// Limit is the largest number of requests in flight at one upstream.
	Limit int
	// Exclude is the upstreams that the request was at before.
	Exclude []string
	// Random is a random number from 0 up to 1 that breaks ties.
	Random float64
	// ExpectedRequests is the number of requests like this one that all processes send until
	// loads are told anew; 0 where loads are not told.
	ExpectedRequests float64
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
	// others is what other processes have in flight at each upstream, as last told.
	others map[string]int
}

// SetPeerLoads notes what other processes have in flight at each upstream; nil where
// that is not known. The map is kept and must not be changed.
func (b *Balancer) SetPeerLoads(others map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = others
}

// Usable returns the number of candidates that answer, and what all processes have
// in flight there.
func (b *Balancer) Usable(candidates []cataloguer.Upstream, now time.Time) (count, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range candidates {
		l := b.load(candidates[i].ID)
		if candidates[i].Draining || l.silentNow(&candidates[i], now) {
			continue
		}
		count++
		inFlight += l.inFlight + b.others[candidates[i].ID]
	}
	return count, inFlight
}

// InFlightByUpstream returns what this process has in flight at each upstream.
func (b *Balancer) InFlightByUpstream() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.loads))
	for id, l := range b.loads {
		if l.inFlight > 0 {
			out[id] = l.inFlight
		}
	}
	return out
}

type load struct {
	inFlight int
	// heard is when the upstream last sent anything.
	heard time.Time
	// full is until when the upstream is passed over for want of room.
	full time.Time
	// silent is a silence that this process saw itself, and told one that others saw.
	silent, told silence
	// sure says that silent is of an answer that had begun.
	sure bool
}

// silence is until when an upstream is passed over, as the head of one life of a
// group.
type silence struct {
	until time.Time
	epoch uint64
}

func (s silence) holds(u *cataloguer.Upstream, now time.Time) bool {
	return now.Before(s.until) && s.epoch == u.Group.Epoch
}

// silentNow says that an upstream is passed over since it fell silent.
func (l *load) silentNow(u *cataloguer.Upstream, now time.Time) bool {
	return l.silent.holds(u, now) || l.told.holds(u, now)
}

// Acquire chooses the candidate with the least in flight and takes a place there.
// Where there is none, the reason tells why. Give the place back with Release.
func (b *Balancer) Acquire(candidates []cataloguer.Upstream, q Query) (cataloguer.Upstream, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, reason := b.choose(candidates, q)
	if i < 0 {
		return cataloguer.Upstream{}, reason
	}
	b.load(candidates[i].ID).inFlight++
	return candidates[i], ""
}

// HasCapacity says that Take would choose a candidate.
func (b *Balancer) HasCapacity(candidates []cataloguer.Upstream, q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, _ := b.choose(candidates, q)
	return i >= 0
}

// choose returns the index of the best candidate, or -1 and why there is none;
// the lock is held.
func (b *Balancer) choose(candidates []cataloguer.Upstream, q Query) (int, Reason) {
	var able []int
	var costs []float64
	reason := ReasonNone
	for i := range candidates {
		u := &candidates[i]
		if u.Draining || avoided(q.Exclude, u.ID) {
			continue
		}
		l := b.load(u.ID)
		switch {
		case l.silentNow(u, q.Now):
			if reason == ReasonNone {
				reason = ReasonSilent
			}
			continue
		case q.Now.Before(l.full) || q.Limit > 0 && l.inFlight >= q.Limit:
			reason = ReasonFull
			continue
		}
		cost := float64(l.inFlight + b.others[u.ID])
		if u.DataCentre != q.DataCentre {
			cost += _remoteCost
		}
		able, costs = append(able, i), append(costs, cost)
	}
	if len(able) == 0 {
		return -1, reason
	}
	if b.others == nil {
		return able[least(costs, q.Random)], ""
	}
	return able[level(costs, max(q.ExpectedRequests, 1), q.Random)], ""
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

// RecordActivity notes that an upstream sent something.
func (b *Balancer) RecordActivity(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.heard = now
	l.silent, l.told = silence{}, silence{}
}

// LastActivity returns when an upstream last sent something.
func (b *Balancer) LastActivity(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(id).heard
}

// MarkSilent notes that an upstream does not answer, as the head of a group's epoch;
// sure says that it had begun to, or could not be reached.
func (b *Balancer) MarkSilent(id string, epoch uint64, sure bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.silent, l.sure = silence{now.Add(_silentFor), epoch}, sure
}

// SilentEpochs returns the epochs of the upstreams that this process itself is sure
// are silent.
func (b *Balancer) SilentEpochs(now time.Time) map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]uint64)
	for id, l := range b.loads {
		if l.sure && now.Before(l.silent.until) {
			out[id] = l.silent.epoch
		}
	}
	return out
}

// MarkSilentByPeer notes that other processes see an upstream silent. What this process has
// heard lately goes before it. It says whether that is news.
func (b *Balancer) MarkSilentByPeer(id string, epoch uint64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	if now.Sub(l.heard) < _lately {
		return false
	}
	news := !now.Before(l.told.until) || l.told.epoch != epoch
	l.told = silence{now.Add(_toldFor), epoch}
	return news
}

// MarkFull notes that an upstream refused a request for want of room.
func (b *Balancer) MarkFull(id string, now time.Time) {
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
