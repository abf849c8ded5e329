package former

import (
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// spread forms one replica in another domain where all copies of a model share
// one, and where nothing else is to be done. The surplus that this makes is
// drained once it serves.
func (w *work) spread(groups []string) {
	if !w.calm() {
		return
	}
	for _, n := range groups {
		g := w.state.Document.Groups[n]
		if g.Replicas == 0 || len(w.census(n, g).serving) != g.Replicas {
			continue
		}
		domains, copies := w.domains(g.Model)
		if len(domains) != 1 || copies < 2 {
			continue
		}
		if c, ok := w.choose(n, g); ok && !domains[c.domain] && len(c.donors) == 0 {
			w.form(n, g, c, "all copies of the model are in one domain")
			return
		}
	}
}

// calm says that every replica serves and stays, and every instance is known.
func (w *work) calm() bool {
	for _, x := range w.all() {
		if x.replica.GetState() != wire.ReplicaState_REPLICA_STATE_SERVING || w.fault(x) != "" {
			return false
		}
	}
	return w.surveyed() && len(w.plan.Placements) == 0
}

// domains returns the domains that hold working copies of a model, and how many
// copies there are.
func (w *work) domains(model string) (map[string]bool, int) {
	out, copies := make(map[string]bool), 0
	for d := range w.next {
		if n := w.copies(d, model); n > 0 {
			out[d] = true
			copies += n
		}
	}
	return out, copies
}

// spreads says that a replica is the only copy of its model in its domain, and
// that the others share one domain.
func (w *work) spreads(x located) bool {
	domains, copies := w.domains(x.replica.GetModel())
	return len(domains) == 2 && copies > 2 && w.copies(x.domain, x.replica.GetModel()) == 1
}
