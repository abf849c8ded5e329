package former

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _drainGrace is how long entries may take to learn that a replica drains;
	// only a report of no work after it counts.
	_drainGrace = 3 * time.Second
	// _drainSilence is how long a member of a draining replica may be silent
	// before its work counts as lost.
	_drainSilence = 10 * time.Second
	// _maxGeneration bounds the numbers that an instance's word can set.
	_maxGeneration = 1 << 62
)

// located is a replica with its domain.
type located struct {
	domain  string
	replica *wire.Replica
}

// all returns every replica in a fixed order.
func (w *work) all() []located {
	var out []located
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		for _, r := range w.next[d].GetReplicas() {
			out = append(out, located{d, r})
		}
	}
	return out
}

// catchUp raises a domain's generation over any number that one of its
// instances obeyed, which happens after an instance changed its domain. Without
// it such an instance would refuse every order.
func (w *work) catchUp() {
	for _, n := range slices.Sorted(maps.Keys(w.state.Instances)) {
		i := w.state.Instances[n]
		p := w.next[i.Domain]
		if i.Generation <= p.GetGeneration() || i.Generation >= _maxGeneration {
			continue
		}
		p.Generation = i.Generation
		w.change(located{i.Domain, nil}, EventCatchUp, n+" obeyed a newer generation")
	}
}

// change notes that a domain's placement must be written.
func (w *work) change(x located, e Event, reason string) {
	w.plan.Placements[x.domain] = w.next[x.domain]
	w.note(x, e, reason)
}

func (w *work) note(x located, e Event, reason string) {
	w.plan.Actions = append(w.plan.Actions, Action{
		Event: e, Replica: x.replica.GetName(), Group: x.replica.GetGroup(), Domain: x.domain,
		Generation: max(x.replica.GetGeneration(), w.next[x.domain].GetGeneration()),
		Members:    slices.Clone(x.replica.GetMembers()), Reason: reason,
	})
}

// issue gives the replica a new generation, to be loaded anew.
func (w *work) issue(x located) {
	p := w.next[x.domain]
	p.Generation++
	x.replica.Generation = p.GetGeneration()
	x.replica.State = wire.ReplicaState_REPLICA_STATE_FORMING
	x.replica.Addresses = make([]string, 0, len(x.replica.GetMembers()))
	for _, m := range x.replica.GetMembers() {
		x.replica.Addresses = append(x.replica.Addresses, w.state.Instances[m].Address)
	}
}

func (w *work) drain(x located, reason string) {
	x.replica.State = wire.ReplicaState_REPLICA_STATE_DRAINING
	w.change(x, EventDrain, reason)
}

func (w *work) remove(x located, reason string) {
	p := w.next[x.domain]
	p.Replicas = slices.DeleteFunc(p.GetReplicas(), func(r *wire.Replica) bool { return r.GetName() == x.replica.GetName() })
	// The release orders carry this number, which is newer than the load's.
	p.Generation++
	w.change(x, EventRemove, reason)
}

// drained says why a draining replica may be released, empty where work may
// still run.
func (w *work) drained(x located) string {
	l := w.life(x.replica)
	for _, m := range x.replica.GetMembers() {
		i, ok := w.state.Instances[m]
		switch {
		case !ok:
			return m + " is not listed"
		case i.Domain != x.domain:
			return m + " moved to " + i.Domain
		case i.Silence >= _drainSilence:
			return m + " is silent"
		case i.Answered && l.obeyed(i, x.replica) && i.Generation != x.replica.GetGeneration():
			return m + " lost its order"
		case i.Generation == x.replica.GetGeneration() && i.Failed:
			return m + " failed"
		}
	}
	leader := w.state.Instances[x.replica.GetMembers()[0]]
	if !leader.Answered || leader.Silence > 0 || leader.InFlight > 0 || w.now.Sub(l.since) < _drainGrace {
		return ""
	}
	return "drained"
}

// life returns the past of a replica; that of a new one is empty.
func (w *work) life(r *wire.Replica) *life {
	if l, ok := w.former.history.replicas[r.GetName()]; ok && l.generation == r.GetGeneration() {
		return l
	}
	return &life{generation: r.GetGeneration(), state: r.GetState(), since: w.now}
}

// obeyed says that the instance is known to have taken the replica's order.
func (l *life) obeyed(i Instance, r *wire.Replica) bool {
	_, ok := l.boots[i.Name]
	return ok || r.GetState() == wire.ReplicaState_REPLICA_STATE_SERVING
}

// gone says why an instance can't be a member in a domain at all, empty where
// it can.
func (w *work) gone(name, domain string) string {
	i, ok := w.state.Instances[name]
	switch {
	case !ok:
		return "is not listed"
	case i.Domain != domain:
		return "moved to " + i.Domain
	case i.Silence >= w.former.DeadAfter:
		return "is silent"
	default:
		return ""
	}
}

// spares returns a domain's instances that are in no replica and can be used,
// the most reliable first. An instance that a stored placement of another
// domain names is none, since that placement may not be written after all.
func (w *work) spares(domain string) []string {
	taken := w.taken(domain)
	var out []string
	for n, i := range w.state.Instances {
		if !taken[n] && w.usable(i, domain) {
			out = append(out, n)
		}
	}
	records := w.former.history.instances
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(records[a].faults, records[b].faults), cmp.Compare(a, b))
	})
	return out
}

// usable says that an instance answers, stays, and may be trusted.
func (w *work) usable(i Instance, domain string) bool {
	return i.Answered && i.Silence == 0 && !i.Leaving && w.gone(i.Name, domain) == "" && w.former.trusted(i.Name, w.now)
}

// taken returns the instances that the domain must not use as spares.
func (w *work) taken(domain string) map[string]bool {
	out := make(map[string]bool)
	for d, p := range w.state.Placements {
		for _, r := range p.GetReplicas() {
			for _, m := range r.GetMembers() {
				if d != domain {
					out[m] = true
				}
			}
		}
	}
	for _, x := range w.all() {
		for _, m := range x.replica.GetMembers() {
			out[m] = true
		}
	}
	return out
}

// loading counts the replicas that load; a broken one waits and loads nothing.
func (w *work) loading() int {
	n := 0
	for _, x := range w.all() {
		if x.replica.GetState() == wire.ReplicaState_REPLICA_STATE_FORMING && w.fault(x) == "" {
			n++
		}
	}
	return n
}

// mayLoad says that the weight store has room for one more load.
func (w *work) mayLoad() bool { return w.loading() < w.state.Document.Policy.LoadLimit() }
