package gossiper

import (
	"slices"
	"time"
)

const (
	// _localPeers and _remotePeers are how many peers a process asks in each
	// round, in its own data centre and in others. Few that stay the same cost
	// less than many that change, since each knows what the other has.
	_localPeers  = 2
	_remotePeers = 1
	// _rotation is how often one peer is changed for another, so that no part
	// of the processes stays among itself.
	_rotation = 5 * time.Minute
	// _lostEvery is how many rounds pass between two tries of a silent process.
	_lostEvery = 3
	// _heardLimit is how recently a peer must have been heard from to be told
	// news at once.
	_heardLimit = 3 * time.Second
)

// Target is a peer to exchange digests with. The name is empty for a seed.
type Target struct {
	Name    string
	Address string
}

// active are the peers asked in each round.
type active struct {
	local, remote []string
	round         int
	rotated       time.Time
}

// RecordFailure notes that a peer did not answer, so that another takes its place.
// What the peer has is unknown from now on.
func (g *Gossiper) RecordFailure(name string) {
	delete(g.peers, name)
	is := func(n string) bool { return n == name }
	g.active.local = slices.DeleteFunc(g.active.local, is)
	g.active.remote = slices.DeleteFunc(g.active.remote, is)
}

// RoundTargets returns the peers to ask now. It is called about once a second.
func (g *Gossiper) RoundTargets(now time.Time) []Target {
	a := &g.active
	a.round++
	if a.rotated.IsZero() {
		a.rotated = now
	}
	if now.Sub(a.rotated) >= _rotation {
		a.rotated = now
		a.local, a.remote = dropFirst(a.local), dropFirst(a.remote)
	}
	a.local = g.fill(a.local, _localPeers, true, now)
	a.remote = g.fill(a.remote, _remotePeers, false, now)
	names := slices.Concat(a.local, a.remote)
	if lost := g.lost(now); lost != "" && a.round%_lostEvery == 0 {
		names = append(names, lost)
	}
	return g.targets(names)
}

// NotificationTargets returns the peers to tell news at once: those asked in each round
// and those that ask this process.
func (g *Gossiper) NotificationTargets(now time.Time) []Target {
	names := slices.Concat(g.active.local, g.active.remote)
	for n, p := range g.peers {
		if !slices.Contains(names, n) && p.contacted && now.Sub(p.seen) < _heardLimit {
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

// fill drops those that are no longer live and adds random live ones.
func (g *Gossiper) fill(names []string, count int, local bool, now time.Time) []string {
	usable := make([]string, 0, len(g.table.byName))
	for n, p := range g.table.byName {
		near := p.record.GetDataCentre() == g.self.GetDataCentre()
		if n != g.self.GetName() && near == local && g.table.IsLive(*p, now) {
			usable = append(usable, n)
		}
	}
	slices.Sort(usable)
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !slices.Contains(usable, n) })
	for len(names) < min(count, len(usable)) {
		if n := usable[g.random.IntN(len(usable))]; !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	return names
}

// lost returns a random process that is known and not live, or "".
func (g *Gossiper) lost(now time.Time) string {
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

func (g *Gossiper) targets(names []string) []Target {
	out := make([]Target, 0, len(names))
	for _, n := range names {
		if p, ok := g.table.Get(n); ok && p.record.GetPeerAddress() != "" {
			out = append(out, Target{Name: n, Address: p.record.GetPeerAddress()})
		}
	}
	return out
}

// IsDesignatedReader says that this process is one of the two that read the platform for
// its data centre: the lowest names among its live entries.
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

// IsIsolated says that no other process, or none of another data centre, is known to
// be live.
func (g *Gossiper) IsIsolated(now time.Time) bool {
	for _, p := range g.table.byName {
		if p.record.GetDataCentre() != g.self.GetDataCentre() && g.table.IsLive(*p, now) {
			return false
		}
	}
	return true
}
