package grouper

import (
	"maps"
	"slices"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// replaceSlowPlans replaces each plan that waits for loads by one whose members all have
// the model, once enough free upstreams of its domain have it. An upstream that crashed
// returns with its staged model long before another has loaded it.
func (d *decision) replaceSlowPlans() {
	if !d.snapshot.TrafficStarted {
		// Loads are quick.
		return
	}
	for _, epoch := range slices.Sorted(maps.Keys(d.plans)) {
		p := d.plans[epoch]
		if d.snapshot.Evacuated[p.dataCentre] || !d.ordersVisible(p) {
			continue
		}
		kept, loading := d.splitMembers(p)
		if len(loading) == 0 || d.loadsEndSoon(p, loading) {
			continue
		}
		spares := d.sparesWith(p.domain, p.model)
		if len(spares) >= len(loading) {
			d.replacePlan(p, append(kept, spares[:len(loading)]...), loading)
		}
	}
}

// ordersVisible reports whether the fleet shows the effect of all orders to a plan's members.
func (d *decision) ordersVisible(p *plan) bool {
	return !slices.ContainsFunc(p.members, func(id string) bool {
		u := d.snapshot.Fleet.Upstreams[id]
		hasJoined := u.Group.Name == p.key.name && u.Group.Epoch == p.key.epoch
		return d.hasPendingOrder(id) || p.accepted[id] && !hasJoined
	})
}

// splitMembers returns the members of a plan that have its model, and those that load it.
func (d *decision) splitMembers(p *plan) (kept, loading []cataloguer.Upstream) {
	for _, id := range p.members {
		u := d.snapshot.Fleet.Upstreams[id]
		if hasModel(u, p.model) {
			kept = append(kept, u)
		} else {
			loading = append(loading, u)
		}
	}
	return kept, loading
}

// loadsEndSoon reports whether the loads of a plan's members end before another group
// could open.
func (d *decision) loadsEndSoon(p *plan, loading []cataloguer.Upstream) bool {
	return !slices.ContainsFunc(loading, func(u cataloguer.Upstream) bool {
		return p.loadedAt[u.ID].Sub(d.now) > p.model.WarmUpTime
	})
}

// sparesWith returns the free upstreams of a domain that have a model, the most suitable
// first.
func (d *decision) sparesWith(domain string, m cataloguer.Model) []cataloguer.Upstream {
	spares := slices.DeleteFunc(d.candidates(domain), func(u cataloguer.Upstream) bool { return u.Unlisted || !hasModel(u, m) })
	return d.byPreference(spares, m)
}

// replacePlan gives up a plan for one with the given members. The upstreams that are not
// among them go on loading the model.
func (d *decision) replacePlan(p *plan, members, loading []cataloguer.Upstream) {
	d.dropPlan(p)
	for _, u := range loading {
		d.staging[u.ID] = stagingLoad{model: p.model.Name, until: p.loadedAt[u.ID].Add(_joinMargin)}
		delete(d.reserved, u.ID)
	}
	d.startPlan(d.newPlan(p.domain, p.dataCentre, p.model, d.byPreference(members, p.model)))
}
