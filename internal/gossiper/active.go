package gossiper

import (
	"slices"
	"time"
)

const (
	// _localPeers and _remotePeers are the numbers of peers that a process exchanges
	// digests with in each round, in its own data centre and in others. A few peers that
	// stay the same cost less than many that change, since each side knows what the other
	// has and digests stay small.
	_localPeers  = 2
	_remotePeers = 1
	// _rotationInterval is how often one active peer is replaced, so that no group of
	// processes exchanges digests only among itself for long.
	_rotationInterval = 5 * time.Minute
	// _notLiveRetryRounds is the number of rounds between two attempts to reach a
	// process that is not live.
	_notLiveRetryRounds = 3
	// _notificationPeriod is how long after its last digest a peer that is not active
	// is still notified of changes at once.
	_notificationPeriod = 3 * time.Second
)

// Target is a peer to exchange digests with. Name is empty for a seed, which is known
// only by its address.
type Target struct {
	Name    string
	Address string
}

// activePeers holds the names of the peers that this process exchanges digests with in
// each round.
type activePeers struct {
	local, remote []string
	round         int
	rotatedAt     time.Time
}

// RecordFailure records that a peer did not answer, so that another active peer replaces
// it. What the peer has counts as unknown from then on.
func (g *Gossiper) RecordFailure(name string) {
	delete(g.peers, name)
	hasName := func(n string) bool { return n == name }
	g.active.local = slices.DeleteFunc(g.active.local, hasName)
	g.active.remote = slices.DeleteFunc(g.active.remote, hasName)
}

// RoundTargets starts a round and returns the peers to exchange digests with in it. Call it
// about once a second.
func (g *Gossiper) RoundTargets(now time.Time) []Target {
	a := &g.active
	a.round++
	if a.rotatedAt.IsZero() {
		a.rotatedAt = now
	}
	if now.Sub(a.rotatedAt) >= _rotationInterval {
		a.rotatedAt = now
		a.local, a.remote = dropFirst(a.local), dropFirst(a.remote)
	}
	a.local = g.replaceInactive(a.local, _localPeers, true, now)
	a.remote = g.replaceInactive(a.remote, _remotePeers, false, now)
	names := slices.Concat(a.local, a.remote)
	if notLive := g.randomNotLive(now); notLive != "" && a.round%_notLiveRetryRounds == 0 {
		names = append(names, notLive)
	}
	return g.targets(names)
}

// NotificationTargets returns the peers to notify of changes at once: the active peers
// and those that have recently sent a digest to this process.
func (g *Gossiper) NotificationTargets(now time.Time) []Target {
	names := slices.Concat(g.active.local, g.active.remote)
	for n, p := range g.peers {
		if !slices.Contains(names, n) && p.contacted && now.Sub(p.lastReceived) < _notificationPeriod {
			names = append(names, n)
		}
	}
	return g.targets(names)
}

func dropFirst(names []string) []string {
	if len(names) == 0 {
		return names
	}
	return slices.Clone(names[1:])
}

// replaceInactive removes the names of processes that are no longer live, and adds
// those of random live processes up to count. The processes are those of this data centre
// if local is true, and those of the others otherwise.
func (g *Gossiper) replaceInactive(names []string, count int, local bool, now time.Time) []string {
	candidates := make([]string, 0, len(g.table.byName))
	for n, p := range g.table.byName {
		isLocal := p.record.GetDataCentre() == g.self.GetDataCentre()
		if n != g.self.GetName() && isLocal == local && g.table.IsLive(*p, now) {
			candidates = append(candidates, n)
		}
	}
	slices.Sort(candidates)
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !slices.Contains(candidates, n) })
	for len(names) < min(count, len(candidates)) {
		if n := candidates[g.random.IntN(len(candidates))]; !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	return names
}

// randomNotLive returns the name of a random process that is known but not live, or "".
func (g *Gossiper) randomNotLive(now time.Time) string {
	var names []string
	for n, p := range g.table.byName {
		if !g.table.IsLive(*p, now) {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return names[g.random.IntN(len(names))]
}

// targets returns the targets of those names that have a peer address.
func (g *Gossiper) targets(names []string) []Target {
	out := make([]Target, 0, len(names))
	for _, n := range names {
		if p, ok := g.table.Get(n); ok && p.record.GetPeerAddress() != "" {
			out = append(out, Target{Name: n, Address: p.record.GetPeerAddress()})
		}
	}
	return out
}

// IsDesignatedReader reports whether this process is one of the two that read the
// platform for its data centre: those with the lowest names among the live processes of
// role "entry" that are not draining.
func (g *Gossiper) IsDesignatedReader(now time.Time) bool {
	const readers = 2
	if g.self.GetRole() != "entry" {
		return false
	}
	before := 0
	for n, p := range g.table.byName {
		r := p.record
		if n < g.self.GetName() && r.GetRole() == "entry" && r.GetDataCentre() == g.self.GetDataCentre() &&
			!r.GetDraining() && g.table.IsLive(*p, now) {
			before++
		}
	}
	return before < readers
}

// IsIsolated reports whether no process of another data centre is known to be live.
func (g *Gossiper) IsIsolated(now time.Time) bool {
	for _, p := range g.table.byName {
		if p.record.GetDataCentre() != g.self.GetDataCentre() && g.table.IsLive(*p, now) {
			return false
		}
	}
	return true
}
