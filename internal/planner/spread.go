package planner

import (
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// spreadCopies forms one replica in another domain if all copies of a model are in one
// domain. It does so only when the plan has no other change. Once the new replica
// serves, removeSurplus drains one of the others.
func (w *workingPlan) spreadCopies(groups []string) {
	if !w.isStable() {
		return
	}
	for _, n := range groups {
		g := w.state.Document.Groups[n]
		if g.Replicas == 0 || len(w.replicasOf(n, g).serving) != g.Replicas {
			continue
		}
		domains, copies := w.copyDomains(g.Model)
		if len(domains) != 1 || copies < 2 {
			continue
		}
		if s, ok := w.chooseSite(n, g); ok && !domains[s.domain] && len(s.toRemove) == 0 {
			w.form(n, g, s, "all copies of the model are in one domain")
			return
		}
	}
}

// isStable reports whether every replica serves, every instance was probed, and the
// plan changes nothing yet.
func (w *workingPlan) isStable() bool {
	for _, x := range w.allReplicas() {
		if x.replica.GetState() != wire.ReplicaState_REPLICA_STATE_SERVING || w.brokenReason(x) != "" {
			return false
		}
	}
	return w.allProbed() && len(w.plan.Placements) == 0
}

// copyDomains returns the domains with working copies of a model, and the number of
// copies in all of them.
func (w *workingPlan) copyDomains(model string) (map[string]bool, int) {
	out, copies := make(map[string]bool), 0
	for d := range w.next {
		if n := w.countCopies(d, model); n > 0 {
			out[d] = true
			copies += n
		}
	}
	return out, copies
}

// isSpreadCopy reports whether a replica is the only copy of its model in its domain
// while all others, two or more, are in one other domain.
func (w *workingPlan) isSpreadCopy(x placedReplica) bool {
	domains, copies := w.copyDomains(x.replica.GetModel())
	return len(domains) == 2 && copies > 2 && w.countCopies(x.domain, x.replica.GetModel()) == 1
}
