package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _reassignAfter is how long a replica must be broken before its members may
	// be reassigned to another replica. Until then its lost member may return with
	// its model still loaded.
	_reassignAfter = 10 * time.Second
	// _urgentReassignAfter replaces _reassignAfter where the receiving group has no
	// serving replica.
	_urgentReassignAfter = 3 * time.Second
	// _confirmAfter is how long a replica with a failed member must be broken, with
	// all members answering, before it is loaded again with the same members. When
	// a member dies, the leader reports that it failed itself before the probes of
	// the dead member fail.
	_confirmAfter = time.Second
	// _loadTimeFactor times the longest load time that a member expects is the
	// timeout of a load.
	_loadTimeFactor = 3
	// _minLoadTimeout is the least timeout of a load, and _defaultLoadTimeout the
	// timeout where no member knows its load time.
	_minLoadTimeout     = time.Minute
	_defaultLoadTimeout = 15 * time.Minute
)

// brokenReason returns why a replica can't serve, or an empty string if it serves or
// is still loading. An unavailable member is named before a failed one, since its
// loss is what makes the others fail.
func (w *workingPlan) brokenReason(x placedReplica) string {
	for _, m := range x.replica.GetMembers() {
		if why := w.unavailableReason(m, x.domain); why != "" {
			return m + " " + why
		}
	}
	for _, m := range x.replica.GetMembers() {
		if why := w.reloadReason(x, m); why != "" {
			return m + " " + why
		}
	}
	return ""
}

// reloadReason returns why a member makes a new generation necessary, or an empty
// string if it does not.
func (w *workingPlan) reloadReason(x placedReplica, name string) string {
	if why := w.unavailableReason(name, x.domain); why != "" {
		return why
	}
	r, rec, i := x.replica, w.recordOf(x.replica), w.state.Instances[name]
	boot, accepted := rec.bootIDs[name]
	switch {
	case !i.Answered:
		return ""
	case i.Generation == r.GetGeneration() && i.Failed:
		return "failed"
	case rec.accepted(i, r) && (i.Generation != r.GetGeneration() || i.Replica != r.GetName()):
		return "lost its order"
	case accepted && boot != i.Boot:
		return "restarted"
	case !i.Ready && w.overdue(r):
		return "takes too long to load"
	default:
		return ""
	}
}

// overdue reports whether a replica has been loading for longer than its timeout.
func (w *workingPlan) overdue(r *wire.Replica) bool {
	if r.GetState() != wire.ReplicaState_REPLICA_STATE_FORMING {
		return false
	}
	limit := time.Duration(0)
	for _, m := range r.GetMembers() {
		limit = max(limit, _loadTimeFactor*w.state.Instances[m].LoadTime)
	}
	if limit == 0 {
		limit = _defaultLoadTimeout
	}
	return w.now.Sub(w.recordOf(r).stateSince) > max(limit, _minLoadTimeout)
}

// repairGroup repairs the group's broken replicas, and drains those with a leaving
// member, so that their requests can complete.
func (w *workingPlan) repairGroup(group string) {
	for _, x := range w.allReplicas() {
		if x.replica.GetGroup() != group || draining(x.replica) {
			continue
		}
		rec := w.recordOf(x.replica)
		why := w.brokenReason(x)
		switch {
		case why != "" && !matches(x.replica, w.state.Document.Groups[group]):
			// scaleGroup removes the replica and forms one as now declared.
		case why != "":
			if rec.brokenSince.IsZero() {
				rec.brokenSince = w.now
			}
			w.repair(x, why)
		case w.leavingMember(x.replica) != "":
			w.drain(x, w.leavingMember(x.replica)+" is leaving")
		default:
			rec.brokenSince, rec.holdReported = time.Time{}, false
		}
	}
}

// leavingMember returns the first member that is leaving, or an empty string.
func (w *workingPlan) leavingMember(r *wire.Replica) string {
	for _, m := range r.GetMembers() {
		if w.state.Instances[m].Leaving {
			return m
		}
	}
	return ""
}

// repair gives a broken replica a new generation, with spares in place of the
// members that can't be kept, or holds it unchanged.
func (w *workingPlan) repair(x placedReplica, why string) {
	w.countOverdueFaults(x.replica)
	if w.hasEnoughReplicas(x.replica.GetGroup()) {
		w.reportHold(x, why+", another replica takes its place")
		return
	}
	if w.faultUnconfirmed(x) {
		return
	}
	keep, replaceable, excluded := w.classifyMembers(x)
	candidates, toRemove := w.candidateMembers(x, len(replaceable)+len(excluded), w.mayReassignMembersTo(x))
	need := len(x.replica.GetMembers()) - len(keep)
	if len(candidates) < need {
		// Without enough spares, members that are merely late to load are kept.
		keep = append(keep, replaceable...)
		need = len(excluded)
		candidates, toRemove = w.candidateMembers(x, need, w.mayReassignMembersTo(x))
	}
	if len(candidates) < need {
		w.reportHold(x, why+", no spare")
		return
	}
	if !w.canStartLoad() {
		w.reportHold(x, why+", too many loads at once")
		return
	}
	for _, y := range toRemove {
		w.remove(y, "its members repair "+x.replica.GetName())
	}
	x.replica.Members = slices.Concat(inOrder(x.replica.GetMembers(), keep), candidates[:need])
	w.issueGeneration(x)
	w.markChanged(x, ActionRepair, why)
}

// mayReassignMembersTo returns a function that reports whether a broken replica
// may be removed so that its members are reassigned to x.
func (w *workingPlan) mayReassignMembersTo(x placedReplica) func(placedReplica) bool {
	group := x.replica.GetGroup()
	g := w.state.Document.Groups[group]
	minBroken := _reassignAfter
	if len(w.replicasOf(group, g).serving) == 0 {
		minBroken = _urgentReassignAfter
	}
	return func(y placedReplica) bool {
		return w.brokenFor(y) >= minBroken && w.state.Document.Groups[y.replica.GetGroup()].Priority <= g.Priority
	}
}

// faultUnconfirmed reports whether the next probes may still show that other members
// are unavailable, so that a repair now could keep a dead one.
func (w *workingPlan) faultUnconfirmed(x placedReplica) bool {
	unavailable, failed := false, false
	for _, m := range x.replica.GetMembers() {
		i := w.state.Instances[m]
		switch {
		case w.unavailableReason(m, x.domain) != "":
			unavailable = true
		case i.Silence > 0:
			return true
		case i.Failed && i.Generation == x.replica.GetGeneration():
			failed = true
		}
	}
	return failed && !unavailable && w.brokenFor(x) < _confirmAfter
}

// hasEnoughReplicas reports whether the group has all declared replicas without
// repairing one.
func (w *workingPlan) hasEnoughReplicas(group string) bool {
	g := w.state.Document.Groups[group]
	have := w.replicasOf(group, g)
	return len(have.serving)+len(have.forming) >= g.Replicas
}

// classifyMembers splits a broken replica's members into those to keep, those to
// replace if there are enough spares, and those that can't be members now.
func (w *workingPlan) classifyMembers(x placedReplica) (keep, replaceable, excluded []string) {
	for _, m := range x.replica.GetMembers() {
		i := w.state.Instances[m]
		switch {
		case w.unavailableReason(m, x.domain) != "", i.Leaving, w.reloadReason(x, m) != "" && !w.planner.cooledDown(m, w.now):
			excluded = append(excluded, m)
		case !i.Ready && w.overdue(x.replica) && w.anyMemberReady(x.replica):
			replaceable = append(replaceable, m)
		default:
			keep = append(keep, m)
		}
	}
	return keep, replaceable, excluded
}

// anyMemberReady reports whether some member finished its load, which means that the
// others are at fault and not the model.
func (w *workingPlan) anyMemberReady(r *wire.Replica) bool {
	return slices.ContainsFunc(r.GetMembers(), func(m string) bool {
		i := w.state.Instances[m]
		return i.Ready && i.Generation == r.GetGeneration()
	})
}

// countOverdueFaults counts one fault per generation for each member whose load is
// overdue.
func (w *workingPlan) countOverdueFaults(r *wire.Replica) {
	rec := w.recordOf(r)
	if rec.overdueCounted || !w.overdue(r) {
		return
	}
	rec.overdueCounted = true
	for _, m := range r.GetMembers() {
		if instance, ok := w.planner.history.instances[m]; ok && !w.state.Instances[m].Ready {
			instance.countFault(w.now)
		}
	}
}

// reportHold adds an ActionHold the first time that a broken replica is left as it is.
func (w *workingPlan) reportHold(x placedReplica, why string) {
	rec := w.recordOf(x.replica)
	if !rec.holdReported {
		w.addAction(x, ActionHold, why)
	}
	rec.holdReported = true
}

// candidateMembers returns the instances that can become members of x: the spares of
// its domain and, if they are fewer than need, the usable members of other broken
// replicas that mayReassign allows, lowest priority first. It returns these replicas
// as toRemove: they must be removed before their members are reassigned.
func (w *workingPlan) candidateMembers(x placedReplica, need int, mayReassign func(placedReplica) bool) (candidates []string, toRemove []placedReplica) {
	candidates = w.spares(x.domain)
	var broken []placedReplica
	for _, y := range w.allReplicas() {
		if y.domain == x.domain && y.replica.GetName() != x.replica.GetName() && !draining(y.replica) &&
			w.brokenReason(y) != "" && mayReassign(y) {
			broken = append(broken, y)
		}
	}
	slices.SortStableFunc(broken, func(a, b placedReplica) int {
		return cmp.Compare(w.state.Document.Groups[a.replica.GetGroup()].Priority, w.state.Document.Groups[b.replica.GetGroup()].Priority)
	})
	for _, y := range broken {
		if len(candidates) >= need {
			break
		}
		toRemove = append(toRemove, y)
		for _, m := range y.replica.GetMembers() {
			if i := w.state.Instances[m]; w.usable(i, x.domain) {
				candidates = append(candidates, m)
			}
		}
	}
	return candidates, toRemove
}

// inOrder returns the members of keep in the order that they have in all.
func inOrder(all, keep []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(m string) bool { return !slices.Contains(keep, m) })
}
