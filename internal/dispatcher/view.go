package dispatcher

import (
	"maps"
	"slices"

	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// view holds the state that one scheduling pass works on.
type view struct {
	document   validator.Document
	placements placementtracker.View
	evidence   Evidence
}

func (d *Dispatcher) newView() view {
	return view{document: d.configuration.Current().Document(), placements: d.placements.View(), evidence: d.evidence}
}

// candidates returns the replicas that may serve a model to an organisation, in
// a fixed order.
func (v view) candidates(model, organisation string) []router.Candidate {
	var out []router.Candidate
	for _, k := range slices.Sorted(maps.Keys(v.placements.Placements())) {
		p := v.placements.Placements()[k]
		for _, r := range p.GetReplicas() {
			if r.GetModel() == model && v.isAllowed(r.GetGroup(), organisation) {
				out = append(out, v.candidate(p, r))
			}
		}
	}
	return out
}

// candidate combines a replica with its evidence. The load is that of the first
// member, which leads the replica.
func (v view) candidate(p *wire.Placement, r *wire.Replica) router.Candidate {
	evidence := v.evidence.Evidence(r.GetMembers()[0])
	leader := evidence.Status()
	c := router.Candidate{
		Replica: r, DataCentre: p.GetDataCentre(), Confirmed: v.evidence.Confirmed(r), Leaving: v.evidence.Leaving(r),
		ReportedLoad: int(leader.InFlight + leader.Queued), ReportedAt: evidence.SentAt(),
	}
	for _, m := range r.GetMembers() {
		if v.placements.Instances()[m].Leaving || v.document.Instances[m].Draining {
			c.Leaving = true
		}
	}
	return c
}

// isAllowed reports whether an organisation may use a group; a group without a
// list of organisations is open to all.
func (v view) isAllowed(group, organisation string) bool {
	g, ok := v.document.Groups[group]
	return ok && (len(g.Organisations) == 0 || slices.Contains(g.Organisations, organisation))
}
