package balancer

import (
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

const (
	// _remoteCost is added to the cost of an upstream in another data centre, in
	// requests in flight.
	_remoteCost = 0.6
	// _fullBackoff is how long an upstream is not chosen after it refused a
	// request because it was full.
	_fullBackoff = 150 * time.Millisecond
	// _silenceBackoff is how long an upstream is not chosen after this process
	// found it silent, unless it responds earlier.
	_silenceBackoff = 3 * time.Second
	// _peerSilenceBackoff is how long an upstream is not chosen after a peer
	// reported it silent; peers repeat the report while the silence lasts.
	_peerSilenceBackoff = 700 * time.Millisecond
	// _activityPrecedence is how long activity that this process saw itself
	// outweighs reports of silence from peers.
	_activityPrecedence = 400 * time.Millisecond
)

// Query holds what a choice depends on besides the candidates.
type Query struct {
	Now        time.Time
	DataCentre string
	// Limit is the largest number of requests that this process may have in
	// flight at one upstream; 0 means no limit.
	Limit int
	// Exclude lists the ids of upstreams that must not be chosen, since the request
	// was already sent to them.
	Exclude []string
	// Random is a random number in [0, 1) that breaks ties.
	Random float64
	// Connected reports whether this process has an idle connection to an upstream; nil
	// means that this does not matter.
	Connected func(u *cataloguer.Upstream) bool
	// ExpectedRequests is the number of requests with the same candidates that all
	// processes together send until the next exchange of loads; 0 if loads are not
	// exchanged.
	ExpectedRequests float64
}

// Reason says why no upstream was chosen.
type Reason string

// Reasons that Acquire returns.
const (
	ReasonNone   Reason = "no-upstream"
	ReasonFull   Reason = "all-full"
	ReasonSilent Reason = "all-silent"
)

// Balancer tracks the load and the health of upstreams. The zero value is ready
// for use. It is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	states map[string]*upstreamState
	// peerLoads is the number of requests that peers have in flight at each
	// upstream, as last reported; nil if unknown.
	peerLoads map[string]int
	// peerActivity is when each upstream last sent data to a peer, as last reported.
	peerActivity map[string]time.Time
	// unanswered holds the data centres of which no process answers this one's.
	unanswered map[string]bool
}

// SetPeerLoads sets the number of requests that peers have in flight at each
// upstream; nil means unknown. The balancer keeps the map, so the caller must not
// change it.
func (b *Balancer) SetPeerLoads(loads map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerLoads = loads
}

// SetPeerActivity sets when each upstream last sent data to a peer. The balancer keeps
// the map, so the caller must not change it.
func (b *Balancer) SetPeerActivity(activity map[string]time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerActivity = activity
}

// LastActivityOfAll returns when an upstream last sent data to this process or, as far
// as is known, to a peer.
func (b *Balancer) LastActivityOfAll(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	latest := b.peerActivity[id]
	if s := b.states[id]; s != nil && s.activeAt.After(latest) {
		latest = s.activeAt
	}
	return latest
}

// Usable returns the number of candidates that are neither silent nor cut off,
// and the number of requests that all processes have in flight there.
func (b *Balancer) Usable(candidates []cataloguer.Upstream, now time.Time) (count, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cutOff := b.cutOffDataCentres(candidates, now)
	for i := range candidates {
		s := b.stateOf(candidates[i].ID)
		if s.isSilent(&candidates[i], now) || cutOff[candidates[i].DataCentre] {
			continue
		}
		count++
		inFlight += s.inFlight + b.peerLoads[candidates[i].ID]
	}
	return count, inFlight
}

// Activity returns the time since each upstream with requests of this process in flight
// last sent data to it. It lacks upstreams that have sent none.
func (b *Balancer) Activity(now time.Time) map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]time.Duration)
	for id, s := range b.states {
		if s.inFlight > 0 && !s.activeAt.IsZero() {
			out[id] = now.Sub(s.activeAt)
		}
	}
	return out
}

// InFlightByUpstream returns the number of requests that this process has in
// flight at each upstream.
func (b *Balancer) InFlightByUpstream() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.states))
	for id, s := range b.states {
		if s.inFlight > 0 {
			out[id] = s.inFlight
		}
	}
	return out
}

// upstreamState is what this process knows about an upstream.
type upstreamState struct {
	inFlight int
	// activeAt is when the upstream last sent any data.
	activeAt time.Time
	// fullUntil is the time until which the upstream is not chosen because it was
	// full.
	fullUntil time.Time
	// ownSilence was seen by this process itself, and peerSilence was reported by a
	// peer.
	ownSilence, peerSilence silence
	// certain is true if the upstream had begun to respond before ownSilence or could
	// not be reached, so that peers may rely on ownSilence.
	certain bool
}

// silence is a period in which an upstream is not chosen. It applies only to one
// epoch of the group that the upstream is the head of, so it does not affect a newly
// formed group.
type silence struct {
	until time.Time
	epoch uint64
}

// appliesTo reports whether the silence applies to an upstream now.
func (s silence) appliesTo(u *cataloguer.Upstream, now time.Time) bool {
	return now.Before(s.until) && s.epoch == u.Group.Epoch
}

// isSilent reports whether the upstream is not to be chosen because of a silence.
func (s *upstreamState) isSilent(u *cataloguer.Upstream, now time.Time) bool {
	return s.ownSilence.appliesTo(u, now) || s.peerSilence.appliesTo(u, now)
}

// Acquire chooses a candidate and counts a request in flight there until Release is
// called. It prefers candidates with few requests in flight, and those in the data
// centre of the query. If no candidate can be chosen, it returns the reason.
func (b *Balancer) Acquire(candidates []cataloguer.Upstream, q Query) (cataloguer.Upstream, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, reason := b.choose(candidates, q)
	if i < 0 {
		return cataloguer.Upstream{}, reason
	}
	b.stateOf(candidates[i].ID).inFlight++
	return candidates[i], ""
}

// HasCapacity reports whether Acquire would choose a candidate.
func (b *Balancer) HasCapacity(candidates []cataloguer.Upstream, q Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, _ := b.choose(candidates, q)
	return i >= 0
}

// choose returns the index of the best candidate, or -1 and the reason why there
// is none. The caller holds the lock.
func (b *Balancer) choose(candidates []cataloguer.Upstream, q Query) (int, Reason) {
	var usable []int
	var costs []float64
	reason := ReasonNone
	cutOff := b.cutOffDataCentres(candidates, q.Now)
	for i := range candidates {
		u := &candidates[i]
		if isExcluded(q.Exclude, u.ID) {
			continue
		}
		s := b.stateOf(u.ID)
		switch {
		case s.isSilent(u, q.Now) || cutOff[u.DataCentre]:
			if reason == ReasonNone {
				reason = ReasonSilent
			}
			continue
		case q.Now.Before(s.fullUntil) || q.Limit > 0 && s.inFlight >= q.Limit:
			reason = ReasonFull
			continue
		}
		cost := float64(s.inFlight + b.peerLoads[u.ID])
		if u.DataCentre != q.DataCentre {
			cost += _remoteCost
		}
		usable, costs = append(usable, i), append(costs, cost)
	}
	if len(usable) == 0 {
		return -1, reason
	}
	if b.peerLoads == nil {
		return usable[pickLowest(costs, q.Random)], ""
	}
	requests := max(q.ExpectedRequests, 1)
	if q.Connected != nil {
		connected := func(i int) bool { return q.Connected(&candidates[usable[i]]) }
		if i := pickConnected(costs, requests, q.Random, connected); i >= 0 {
			return usable[i], ""
		}
	}
	return usable[pickLevelled(costs, requests, q.Random)], ""
}

func isExcluded(list []string, id string) bool {
	for _, a := range list {
		if a == id {
			return true
		}
	}
	return false
}

// stateOf returns the state of an upstream and creates it if needed. The caller
// holds the lock.
func (b *Balancer) stateOf(id string) *upstreamState {
	s := b.states[id]
	if s == nil {
		if b.states == nil {
			b.states = make(map[string]*upstreamState)
		}
		s = &upstreamState{}
		b.states[id] = s
	}
	return s
}

// Release ends a request counted by Acquire.
func (b *Balancer) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).inFlight--
}

// RecordActivity records that an upstream sent data, which ends its silence.
func (b *Balancer) RecordActivity(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.activeAt = now
	s.ownSilence, s.peerSilence = silence{}, silence{}
}

// LastActivity returns when an upstream last sent data.
func (b *Balancer) LastActivity(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateOf(id).activeAt
}

// MarkSilent records that an upstream does not respond as the head of its group in
// the given epoch. certain is true if the upstream had begun to respond or could not
// be reached.
func (b *Balancer) MarkSilent(id string, epoch uint64, certain bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.ownSilence, s.certain = silence{now.Add(_silenceBackoff), epoch}, certain
}

// SilentEpochs returns the upstreams that this process found silent with certainty,
// as MarkSilent describes it, each with the epoch of its group.
func (b *Balancer) SilentEpochs(now time.Time) map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]uint64)
	for id, s := range b.states {
		if s.certain && now.Before(s.ownSilence.until) {
			out[id] = s.ownSilence.epoch
		}
	}
	return out
}

// MarkSilentByPeer records that a peer reported an upstream silent. The report is
// ignored if this process received data from the upstream within
// _activityPrecedence. It returns whether the report is new.
func (b *Balancer) MarkSilentByPeer(id string, epoch uint64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	if now.Sub(s.activeAt) < _activityPrecedence {
		return false
	}
	isNew := !now.Before(s.peerSilence.until) || s.peerSilence.epoch != epoch
	s.peerSilence = silence{now.Add(_peerSilenceBackoff), epoch}
	return isNew
}

// MarkFull records that an upstream refused a request because it was full.
func (b *Balancer) MarkFull(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).fullUntil = now.Add(_fullBackoff)
}

// InFlight returns the number of requests that this process has in flight at all
// upstreams.
func (b *Balancer) InFlight() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.states {
		n += s.inFlight
	}
	return int64(n)
}

// Forget deletes the state of upstreams that are no longer in the fleet and have
// no request in flight.
func (b *Balancer) Forget(fleet *cataloguer.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if _, ok := fleet.Upstreams[id]; !ok && s.inFlight == 0 {
			delete(b.states, id)
		}
	}
}
