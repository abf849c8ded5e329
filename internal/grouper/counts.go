package grouper

import (
	"maps"
	"slices"

	"github.com/lycheebarrow/lycheebarrow/internal/apportioner"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _starvedFraction is the fraction of the best served model's coverage up to which a model
// is starved: its callers are refused while groups of the other model have free slots.
const _starvedFraction = 0.5

// groupCounts is the number of groups of each model, over all data centres and in each.
type groupCounts struct {
	total map[string]int
	local map[localModel]int
	// byDomain holds the numbers in each fabric domain.
	byDomain map[domainModel]int
	// dataCentres is the number of data centres with upstreams of the service.
	dataCentres int
}

// localModel is a model in a data centre, and domainModel one in a fabric domain.
type (
	localModel  struct{ dataCentre, model string }
	domainModel struct{ domain, model string }
)

// countGroups returns the number of groups that are complete or are being formed.
func (d *decision) countGroups() groupCounts {
	c := groupCounts{total: make(map[string]int), local: make(map[localModel]int), byDomain: make(map[domainModel]int)}
	for _, x := range d.groups {
		if d.plans[x.key.epoch] == nil && x.isComplete() && x.drainingCount == 0 {
			c.add(x.model, x.head.DataCentre, x.head.Domain)
		}
	}
	for _, p := range d.plans {
		c.add(p.model, p.dataCentre, p.domain)
	}
	dataCentres := make(map[string]bool)
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		dataCentres[u.DataCentre] = true
	}
	c.dataCentres = len(dataCentres)
	return c
}

func (c groupCounts) add(m cataloguer.Model, dataCentre, domain string) {
	c.total[m.Name]++
	c.local[localModel{dataCentre, m.Name}]++
	c.byDomain[domainModel{domain, m.Name}]++
}

// of returns the number of a model's groups that count for a data centre.
func (c groupCounts) of(m cataloguer.Model, dataCentre string) float64 {
	return apportioner.EffectiveGroups(c.local[localModel{dataCentre, m.Name}], c.total[m.Name], c.dataCentres)
}

// coverage returns how well the groups of a model serve its share of the load in a data
// centre.
func (c groupCounts) coverage(m cataloguer.Model, dataCentre string) float64 {
	return apportioner.Coverage(m, c.local[localModel{dataCentre, m.Name}], c.total[m.Name], c.dataCentres)
}

// starvedModels returns the models whose coverage in a data centre is far below that of
// the best served one, and of which the domain is large enough for a group. Before the
// first request none is.
func (d *decision) starvedModels(groups groupCounts, domain, dataCentre string) map[string]bool {
	if !d.snapshot.TrafficStarted {
		return nil
	}
	best := 0.0
	for _, m := range d.snapshot.Engine.Models {
		best = max(best, groups.coverage(m, dataCentre))
	}
	out := make(map[string]bool)
	for _, m := range d.snapshot.Engine.Models {
		if m.GroupSize <= d.domainSizes[domain].count && groups.coverage(m, dataCentre) <= _starvedFraction*best {
			out[m.Name] = true
		}
	}
	return out
}

// apportion returns how many new groups of each model the domains should get, by domain
// and model.
func (d *decision) apportion(groups groupCounts) map[string]map[string]int {
	models := d.snapshot.Engine.Models
	domains := d.domains(groups)
	out := make(map[string]map[string]int)
	for i, division := range apportioner.Apportion(models, domains) {
		byModel := make(map[string]int)
		for j, n := range division {
			byModel[models[j].Name] = n
		}
		out[domains[i].Name] = byModel
	}
	return out
}

// domains returns the fabric domains, sorted by name.
func (d *decision) domains(groups groupCounts) []apportioner.Domain {
	byName := make(map[string]apportioner.Domain)
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		x := byName[u.Domain]
		x.Name, x.DataCentre = u.Domain, u.DataCentre
		if d.isFree(u) {
			x.Free++
		}
		byName[u.Domain] = x
	}
	var out []apportioner.Domain
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		x := byName[name]
		for _, m := range d.snapshot.Engine.Models {
			x.Groups = append(x.Groups, groups.byDomain[domainModel{name, m.Name}])
		}
		out = append(out, x)
	}
	return out
}
