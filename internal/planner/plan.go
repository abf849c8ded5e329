package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _drainGrace is how long the entries, which route the requests, may take to
	// learn that a replica drains. Until it has passed, a report of no requests in
	// flight is ignored.
	_drainGrace = 3 * time.Second
	// _drainSilenceLimit is how long the probes of a draining replica's member may
	// fail before the replica's requests count as lost.
	_drainSilenceLimit = 10 * time.Second
	// _maxGeneration bounds the generations that a domain takes over from an
	// instance's report.
	_maxGeneration = 1 << 62
)

// placedReplica is a replica and the domain that it is placed in.
type placedReplica struct {
	domain  string
	replica *wire.Replica
}

// allReplicas returns every replica, in the order of the domains' names.
func (w *workingPlan) allReplicas() []placedReplica {
	var out []placedReplica
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		for _, r := range w.next[d].GetReplicas() {
			out = append(out, placedReplica{d, r})
		}
	}
	return out
}

// catchUp raises a domain's generation to the highest one that any of its
// instances accepted. An instance that moved here from another domain may be
// ahead, and would refuse every order otherwise.
func (w *workingPlan) catchUp() {
	for _, n := range slices.Sorted(maps.Keys(w.state.Instances)) {
		i := w.state.Instances[n]
		p := w.next[i.Domain]
		if i.Generation <= p.GetGeneration() || i.Generation >= _maxGeneration {
			continue
		}
		p.Generation = i.Generation
		w.markChanged(placedReplica{i.Domain, nil}, ActionCatchUp, n+" obeyed a newer generation")
	}
}

// markChanged adds a domain's placement, and an action about the replica, to the
// plan.
func (w *workingPlan) markChanged(x placedReplica, k ActionKind, reason string) {
	w.plan.Placements[x.domain] = w.next[x.domain]
	w.addAction(x, k, reason)
}

// addAction adds an action about the replica to the plan.
func (w *workingPlan) addAction(x placedReplica, k ActionKind, reason string) {
	w.plan.Actions = append(w.plan.Actions, Action{
		Kind: k, Replica: x.replica.GetName(), Group: x.replica.GetGroup(), Domain: x.domain,
		Generation: max(x.replica.GetGeneration(), w.next[x.domain].GetGeneration()),
		Members:    slices.Clone(x.replica.GetMembers()), Reason: reason,
	})
}

// issueGeneration gives the replica a new generation, which makes its members load
// the model again, and sets its addresses to those of its current members.
func (w *workingPlan) issueGeneration(x placedReplica) {
	p := w.next[x.domain]
	p.Generation++
	x.replica.Generation = p.GetGeneration()
	x.replica.State = wire.ReplicaState_REPLICA_STATE_FORMING
	x.replica.Addresses = make([]string, 0, len(x.replica.GetMembers()))
	for _, m := range x.replica.GetMembers() {
		x.replica.Addresses = append(x.replica.Addresses, w.state.Instances[m].Address)
	}
}

// drain lets the replica complete its requests while entries send it no new ones.
func (w *workingPlan) drain(x placedReplica, reason string) {
	x.replica.State = wire.ReplicaState_REPLICA_STATE_DRAINING
	w.markChanged(x, ActionDrain, reason)
}

// remove takes the replica out of its placement, which frees its members.
func (w *workingPlan) remove(x placedReplica, reason string) {
	p := w.next[x.domain]
	p.Replicas = slices.DeleteFunc(p.GetReplicas(), func(r *wire.Replica) bool { return r.GetName() == x.replica.GetName() })
	// The orders that release the members carry this generation, which is newer
	// than that of the load.
	p.Generation++
	w.markChanged(x, ActionRemove, reason)
}

// removalReason returns why a draining replica may be removed, or an empty string
// while it may still have requests in flight.
func (w *workingPlan) removalReason(x placedReplica) string {
	rec := w.recordOf(x.replica)
	for _, m := range x.replica.GetMembers() {
		i, ok := w.state.Instances[m]
		switch {
		case !ok:
			return m + " is not listed"
		case i.Domain != x.domain:
			return m + " moved to " + i.Domain
		case i.Silence >= _drainSilenceLimit:
			return m + " is silent"
		case i.Answered && rec.accepted(i, x.replica) && i.Generation != x.replica.GetGeneration():
			return m + " lost its order"
		case i.Generation == x.replica.GetGeneration() && i.Failed:
			return m + " failed"
		}
	}
	// The first member leads the replica and reports its requests in flight.
	leader := w.state.Instances[x.replica.GetMembers()[0]]
	if !leader.Answered || leader.Silence > 0 || leader.InFlight > 0 || w.now.Sub(rec.stateSince) < _drainGrace {
		return ""
	}
	return "drained"
}

// recordOf returns what is known of a replica's past, an empty record for a new
// replica.
func (w *workingPlan) recordOf(r *wire.Replica) *replicaRecord {
	if rec, ok := w.planner.history.replicas[r.GetName()]; ok && rec.generation == r.GetGeneration() {
		return rec
	}
	return &replicaRecord{generation: r.GetGeneration(), state: r.GetState(), stateSince: w.now}
}

// accepted reports whether the instance is known to have accepted the replica's
// order. A replica serves only after all its members have.
func (rec *replicaRecord) accepted(i Instance, r *wire.Replica) bool {
	_, ok := rec.bootIDs[i.Name]
	return ok || r.GetState() == wire.ReplicaState_REPLICA_STATE_SERVING
}

// unavailableReason returns why an instance can't be a member of any replica in a
// domain, or an empty string if it can.
func (w *workingPlan) unavailableReason(name, domain string) string {
	i, ok := w.state.Instances[name]
	switch {
	case !ok:
		return "is not listed"
	case i.Domain != domain:
		return "moved to " + i.Domain
	case i.Silence >= w.planner.DeadAfter:
		return "is silent"
	default:
		return ""
	}
}

// spares returns a domain's usable instances that are members of no replica, those
// with the fewest faults first. An instance that another domain's stored
// placement still names is not a spare: the write that removes it there may fail.
func (w *workingPlan) spares(domain string) []string {
	assigned := w.assigned(domain)
	var out []string
	for n, i := range w.state.Instances {
		if !assigned[n] && w.usable(i, domain) {
			out = append(out, n)
		}
	}
	records := w.planner.history.instances
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(records[a].faults, records[b].faults), cmp.Compare(a, b))
	})
	return out
}

// usable reports whether an instance of the domain answers probes, is not leaving,
// and has been up for its cool-down.
func (w *workingPlan) usable(i Instance, domain string) bool {
	return i.Answered && i.Silence == 0 && !i.Leaving && w.unavailableReason(i.Name, domain) == "" && w.planner.cooledDown(i.Name, w.now)
}

// assigned returns the instances that the domain must not use as spares: the
// members of the plan's replicas, and those of other domains' stored placements.
func (w *workingPlan) assigned(domain string) map[string]bool {
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
	for _, x := range w.allReplicas() {
		for _, m := range x.replica.GetMembers() {
			out[m] = true
		}
	}
	return out
}

// countLoading counts the replicas that are loading. A broken one is not loading.
func (w *workingPlan) countLoading() int {
	n := 0
	for _, x := range w.allReplicas() {
		if x.replica.GetState() == wire.ReplicaState_REPLICA_STATE_FORMING && w.brokenReason(x) == "" {
			n++
		}
	}
	return n
}

// canStartLoad reports whether one more load may start. The limit protects the
// weight store, which all loads read from.
func (w *workingPlan) canStartLoad() bool {
	return w.countLoading() < w.state.Document.Policy.LoadLimit()
}
