package grouper

import (
	"cmp"
	"slices"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// stageSpares orders free upstreams to stage a model on their hosts, so that they can
// replace a lost member quickly. Ahead of the first request, a domain stages nothing
// while it has enough free upstreams for another group.
func (d *decision) stageSpares() {
	if !d.snapshot.TrafficStarted && d.now.Sub(d.domainSizes[""].changedAt) < _fleetSettleTime {
		return
	}
	groups := d.countGroups()
	for _, domain := range d.domainsWithFreeUpstreams() {
		spares := d.candidates(domain)
		if m, ok := d.starvedModelOf(domain, spares, groups); ok {
			d.stageStarved(spares, m)
			continue
		}
		if !d.snapshot.TrafficStarted && len(spares) >= d.smallestGroupSize() {
			// The domain may still form a group of these upstreams.
			continue
		}
		count := make(map[string]int)
		for _, u := range spares {
			for _, s := range u.StagedModels {
				count[s]++
			}
			if s, ok := d.staging[u.ID]; ok {
				count[s.model]++
			}
		}
		for _, u := range spares {
			m, ok := d.modelForSpare(domain, count)
			_, isStaging := d.staging[u.ID]
			if !ok || isStaging || len(u.StagedModels) > 0 || u.Group.Name != "" || d.snapshot.TrafficStarted && !d.mayLoad(1) {
				continue
			}
			count[m.Name]++
			d.orderStage(u, m, "spare")
		}
	}
}

// starvedModelOf returns a starved model whose next group lacks free upstreams that have it
// staged, and whether there is one. Of several, the one with the largest groups comes first.
func (d *decision) starvedModelOf(domain string, spares []cataloguer.Upstream, groups groupCounts) (cataloguer.Model, bool) {
	if len(spares) == 0 {
		return cataloguer.Model{}, false
	}
	starved := d.starvedModels(groups, domain, spares[0].DataCentre)
	var best cataloguer.Model
	for _, m := range d.snapshot.Engine.Models {
		if starved[m.Name] && m.GroupSize > best.GroupSize {
			best = m
		}
	}
	return best, best.GroupSize > 0
}

// stageStarved orders the free upstreams that a group of a starved model lacks to stage it:
// those that have no model, and once a group could be formed of the free upstreams, those
// that have another one. Unlike joins that load the model, this loses nothing where one of
// the upstreams is lost meanwhile.
func (d *decision) stageStarved(spares []cataloguer.Upstream, m cataloguer.Model) {
	staged := 0
	for _, u := range spares {
		if d.hasOrStagesModel(u, m) {
			staged++
		}
	}
	mayReplace := len(spares) >= m.GroupSize && staged*2 >= m.GroupSize || len(spares) >= m.GroupSize+_sparesPerDomain
	for _, u := range d.byPreference(spares, m) {
		if staged >= m.GroupSize || !d.mayLoad(1) {
			return
		}
		isEmpty := len(u.StagedModels) == 0 && u.Group.Name == ""
		if !d.mayStage(u, m) || !isEmpty && (!mayReplace || d.mostLoadsRun()) {
			continue
		}
		staged++
		d.orderStage(u, m, "starved")
	}
}

// mayStage reports whether a free upstream lacks a model, stages no other one and can be
// the member of any group.
func (d *decision) mayStage(u cataloguer.Upstream, m cataloguer.Model) bool {
	_, isStaging := d.staging[u.ID]
	return !isStaging && !u.Unlisted && !d.hasOrStagesModel(u, m)
}

// mostLoadsRun reports whether at least half of the loads run that run at full speed at the
// same time. The others are left for the replacement of lost members.
func (d *decision) mostLoadsRun() bool {
	return d.snapshot.Engine.MaxConcurrentLoads > 0 && 2*len(d.loadingUntil) >= d.snapshot.Engine.MaxConcurrentLoads
}

// orderStage orders a free upstream to stage a model.
func (d *decision) orderStage(u cataloguer.Upstream, m cataloguer.Model, reason string) {
	d.recordLoad(u.ID, m)
	d.staging[u.ID] = stagingLoad{model: m.Name, until: d.now.Add(m.LoadTime + _joinMargin)}
	d.addOrder(Order{Operation: OperationStage, Upstream: u.ID, Model: m.Name, Observed: u.Group, Reason: reason})
}

// smallestGroupSize returns the number of upstreams in a group of the model with the
// smallest groups.
func (d *decision) smallestGroupSize() int {
	smallest := 0
	for _, m := range d.snapshot.Engine.Models {
		if smallest == 0 || m.GroupSize < smallest {
			smallest = m.GroupSize
		}
	}
	return smallest
}

// modelForSpare returns the model that a domain's next spare should stage, and
// whether there is one. It is the model with the most group members for each spare.
// Ties go to the model with fewer spares, and then to the one with larger groups,
// since a lost member leaves all others of its group idle.
func (d *decision) modelForSpare(domain string, spares map[string]int) (cataloguer.Model, bool) {
	members := make(map[string]int)
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		if u.Domain == domain && u.Group.Name != "" && !isStandbyName(u.Group.Name) {
			members[u.Group.Model]++
		}
	}
	for _, p := range d.plans {
		if p.domain == domain {
			members[p.model.Name] += len(p.members)
		}
	}
	models := slices.Clone(d.snapshot.Engine.Models)
	if len(models) == 0 {
		return cataloguer.Model{}, false
	}
	slices.SortStableFunc(models, func(a, b cataloguer.Model) int {
		// Cross-multiplication compares the members for each spare without a division.
		left, right := members[a.Name]*(spares[b.Name]+1), members[b.Name]*(spares[a.Name]+1)
		return cmp.Or(cmp.Compare(right, left), cmp.Compare(spares[a.Name], spares[b.Name]), cmp.Compare(b.GroupSize, a.GroupSize))
	})
	return models[0], true
}
