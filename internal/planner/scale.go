package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _domainOutageAfter is how long a replica in a fabric domain that is silent as a
// whole must be broken before another is formed elsewhere. A switch restart
// takes less.
const _domainOutageAfter = 5 * time.Second

// groupReplicas holds a group's replicas by their state, without draining ones.
type groupReplicas struct {
	// serving, forming and broken match what the group declares.
	serving, forming, broken []placedReplica
	// inShortOutage counts the broken replicas in a short domain outage. They may
	// soon serve again, so none is formed in their place yet.
	inShortOutage int
	// oldServing, oldForming and oldBroken match an earlier declaration of the
	// group.
	oldServing, oldForming, oldBroken []placedReplica
}

// replicasOf sorts the group's replicas by their state.
func (w *workingPlan) replicasOf(name string, g validator.Group) groupReplicas {
	var have groupReplicas
	for _, x := range w.allReplicas() {
		if x.replica.GetGroup() != name || draining(x.replica) {
			continue
		}
		current, working := matches(x.replica, g), w.brokenReason(x) == ""
		serving := x.replica.GetState() == wire.ReplicaState_REPLICA_STATE_SERVING
		switch {
		case current && working && serving:
			have.serving = append(have.serving, x)
		case current && working:
			have.forming = append(have.forming, x)
		case current:
			have.broken = append(have.broken, x)
			if w.isShortDomainOutage(x) {
				have.inShortOutage++
			}
		case working && serving:
			have.oldServing = append(have.oldServing, x)
		case working:
			have.oldForming = append(have.oldForming, x)
		default:
			have.oldBroken = append(have.oldBroken, x)
		}
	}
	return have
}

// allProbed reports whether every instance has answered a probe or counts as dead.
// Until then a lack of spares may only mean that answers are outstanding.
func (w *workingPlan) allProbed() bool {
	for _, i := range w.state.Instances {
		if !i.Answered && i.Silence < w.planner.DeadAfter {
			return false
		}
	}
	return true
}

// brokenFor returns how long a replica has been broken, 0 if it is not.
func (w *workingPlan) brokenFor(x placedReplica) time.Duration {
	rec := w.recordOf(x.replica)
	if rec.brokenSince.IsZero() {
		return 0
	}
	return w.now.Sub(rec.brokenSince)
}

// isShortDomainOutage reports whether the replica broke less than _domainOutageAfter
// ago and the newest probe of every instance in its domain failed.
func (w *workingPlan) isShortDomainOutage(x placedReplica) bool {
	if w.brokenFor(x) >= _domainOutageAfter {
		return false
	}
	for _, i := range w.state.Instances {
		if i.Domain == x.domain && i.Silence == 0 {
			return false
		}
	}
	return true
}

// scaleGroup brings a group to its declared replicas and version. Replicas of an
// earlier declaration keep serving until new ones replace them.
func (w *workingPlan) scaleGroup(name string, g validator.Group) {
	have := w.replicasOf(name, g)
	for _, x := range have.oldBroken {
		w.remove(x, "group was changed, "+w.brokenReason(x))
	}
	for _, x := range have.oldForming {
		w.drain(x, "group was changed")
	}
	w.removeSurplus(name, g)
	for {
		have := w.replicasOf(name, g)
		missing := g.Replicas - len(have.serving) - len(have.forming) - have.inShortOutage
		working := len(have.serving) + len(have.forming) + len(have.oldServing)
		// While replicas of an earlier declaration serve, the group may exceed its
		// declared number by at most the limit of concurrent loads.
		if missing <= 0 || !w.allProbed() || len(have.oldServing) > 0 && working >= g.Replicas+w.state.Document.Policy.LoadLimit() || !w.canStartLoad() {
			return
		}
		best, ok := w.chooseSite(name, g)
		if !ok {
			w.freeInstances(name, g, have)
			return
		}
		w.form(name, g, best, "fewer replicas than declared")
	}
}

// removeSurplus removes or drains the replicas that the group has beyond its
// declaration, those that don't serve before those that do.
func (w *workingPlan) removeSurplus(name string, g validator.Group) {
	have := w.replicasOf(name, g)
	reason := "more replicas than declared"
	if len(have.serving) >= g.Replicas {
		for _, x := range have.broken {
			w.remove(x, reason+", "+w.brokenReason(x))
		}
		for _, x := range have.forming {
			if !w.isSpreadCopy(x) {
				w.drain(x, reason)
			}
		}
		for _, x := range have.oldServing {
			w.drain(x, "group was changed")
		}
		w.drainHighest(have.serving, len(have.serving)-g.Replicas, reason, w.compareMostCopies)
		return
	}
	w.drainHighest(have.oldServing, len(have.serving)+len(have.oldServing)-g.Replicas, "group was changed", w.compareFewestCopies)
	w.drainHighest(have.forming, len(have.serving)+len(have.forming)-g.Replicas, reason, w.compareMostCopies)
}

// drainHighest drains count replicas, each time the one that compares highest.
func (w *workingPlan) drainHighest(from []placedReplica, count int, reason string, compare func(a, b placedReplica) int) {
	for range min(count, len(from)) {
		highest := slices.MaxFunc(from, compare)
		from = slices.DeleteFunc(slices.Clone(from), func(x placedReplica) bool { return x.replica == highest.replica })
		w.drain(highest, reason)
	}
}

// compareMostCopies compares replicas by the number of copies of the model in their
// domain, then by how recently they entered their state. The greatest is the
// newest replica in the domain with the most copies, whose loss matters least.
func (w *workingPlan) compareMostCopies(a, b placedReplica) int {
	return cmp.Or(
		cmp.Compare(w.countCopies(a.domain, a.replica.GetModel()), w.countCopies(b.domain, b.replica.GetModel())),
		w.recordOf(a.replica).stateSince.Compare(w.recordOf(b.replica).stateSince),
	)
}

// compareFewestCopies compares replicas by how few copies of the model their domain
// has. Of the replicas of an earlier declaration the greatest is drained first,
// since its domain is the best one for a new replica.
func (w *workingPlan) compareFewestCopies(a, b placedReplica) int {
	return cmp.Compare(w.countCopies(b.domain, b.replica.GetModel()), w.countCopies(a.domain, a.replica.GetModel()))
}

// countCopies counts the model's replicas in a domain that are neither broken nor
// draining and match what their group declares.
func (w *workingPlan) countCopies(domain, model string) int {
	n := 0
	for _, r := range w.next[domain].GetReplicas() {
		if r.GetModel() == model && !draining(r) && matches(r, w.state.Document.Groups[r.GetGroup()]) && w.brokenReason(placedReplica{domain, r}) == "" {
			n++
		}
	}
	return n
}

// site is a domain and the members with which a replica could be formed there.
// toRemove are the broken replicas that must be removed first, since some of the
// members are theirs.
type site struct {
	domain   string
	members  []string
	toRemove []placedReplica
}

// chooseSite returns the best site for one more replica of the group. It prefers the
// domain with the fewest copies of the model, so that a domain's outage doesn't
// take all of them; then that with the fewest replicas to remove; then that with
// the fewest candidates for members, so that other domains keep enough for large
// replicas.
func (w *workingPlan) chooseSite(name string, g validator.Group) (site, bool) {
	var best site
	bestScore := [3]int{}
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		candidates, toRemove := w.candidateMembers(placedReplica{d, &wire.Replica{}}, g.Members, func(x placedReplica) bool {
			other := w.state.Document.Groups[x.replica.GetGroup()].Priority
			return w.brokenFor(x) >= _reassignAfter && (x.replica.GetGroup() == name || other < g.Priority)
		})
		if len(candidates) < g.Members {
			continue
		}
		score := [3]int{w.countCopies(d, g.Model), len(toRemove), len(candidates)}
		if best.members == nil || slices.Compare(score[:], bestScore[:]) < 0 {
			best, bestScore = site{d, slices.Clone(candidates[:g.Members]), toRemove}, score
		}
	}
	return best, best.members != nil
}

// form adds a replica of the group at the site.
func (w *workingPlan) form(name string, g validator.Group, s site, reason string) {
	for _, x := range s.toRemove {
		w.remove(x, "its members form a replica of "+name)
	}
	p := w.next[s.domain]
	x := placedReplica{s.domain, &wire.Replica{
		Name: fmt.Sprintf("%s/%s/%d", name, s.domain, p.GetGeneration()+1), Group: name, Model: g.Model, Version: g.Version,
		Members: s.members, Slots: uint32(g.SlotCount()),
	}}
	w.issueGeneration(x)
	p.Replicas = append(p.Replicas, x.replica)
	w.markChanged(x, ActionForm, reason)
}

// freeInstances drains replicas so that one of the group can be formed later: those of
// an earlier declaration of the group, or else those of groups with a lower
// priority. It drains none while replicas that already drain will free enough
// instances.
func (w *workingPlan) freeInstances(name string, g validator.Group, have groupReplicas) {
	if len(have.oldServing) > 0 {
		if len(have.forming) == 0 {
			w.drainVictims(g, "group was changed", func(r *wire.Replica) bool { return r.GetGroup() == name && !matches(r, g) })
		}
		return
	}
	// A member that was lost less than _reassignAfter ago may still return.
	if slices.ContainsFunc(have.broken, func(x placedReplica) bool { return w.brokenFor(x) < _reassignAfter }) {
		return
	}
	w.drainVictims(g, fmt.Sprintf("group %s has a higher priority", name), func(r *wire.Replica) bool {
		other, ok := w.state.Document.Groups[r.GetGroup()]
		return ok && other.Priority < g.Priority
	})
}

// drainVictims drains replicas to free the instances for one new replica, in the domain
// where the fewest have to be drained. mayDrain reports whether a replica may be drained.
func (w *workingPlan) drainVictims(g validator.Group, reason string, mayDrain func(r *wire.Replica) bool) {
	var best []placedReplica
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		victims, ok := w.victims(d, g.Members, mayDrain)
		if ok && len(victims) == 0 {
			return
		}
		if ok && (best == nil || len(victims) < len(best) || len(victims) == len(best) && w.countCopies(d, g.Model) < w.countCopies(best[0].domain, g.Model)) {
			best = victims
		}
	}
	for _, x := range best {
		w.drain(x, reason)
	}
}

// victims returns the replicas of a domain, lowest priority first, that must be
// drained to free need instances, and whether draining them frees that many.
func (w *workingPlan) victims(domain string, need int, mayDrain func(r *wire.Replica) bool) ([]placedReplica, bool) {
	free := len(w.spares(domain))
	var candidates, out []placedReplica
	for _, r := range w.next[domain].GetReplicas() {
		switch {
		case draining(r):
			free += w.countUsable(domain, r)
		case mayDrain(r):
			candidates = append(candidates, placedReplica{domain, r})
		}
	}
	slices.SortStableFunc(candidates, func(a, b placedReplica) int {
		x, y := w.state.Document.Groups[a.replica.GetGroup()], w.state.Document.Groups[b.replica.GetGroup()]
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(len(a.replica.GetMembers()), len(b.replica.GetMembers())))
	})
	for _, x := range candidates {
		if free >= need {
			break
		}
		free += w.countUsable(domain, x.replica)
		out = append(out, x)
	}
	return out, free >= need
}

// countUsable counts the replica's members that could join another replica of the
// domain.
func (w *workingPlan) countUsable(domain string, r *wire.Replica) int {
	n := 0
	for _, m := range r.GetMembers() {
		if w.usable(w.state.Instances[m], domain) {
			n++
		}
	}
	return n
}
