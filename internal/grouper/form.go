package grouper

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _domainSettleTime is how long no upstream of a domain must have returned with a staged
// model before another model is loaded on upstreams that have one.
const _domainSettleTime = 3 * time.Second

const (
	// _arrivalSettleTime is how long the number of a domain's upstreams must be
	// unchanged, ahead of the first request, before all of them count as present.
	_arrivalSettleTime = time.Second
	// _earlyLoadFactor multiplies the engine's MaxConcurrentLoads, the number of loads
	// that run at full speed at the same time, ahead of the first request.
	_earlyLoadFactor = 2
	// _sparesPerDomain is the number of free upstreams that a domain keeps to replace
	// lost members of groups.
	_sparesPerDomain = 2
)

// _loadRateShare is the share of the allowed rate of loads that is used. The rest
// covers loads that an earlier lease holder began.
const _loadRateShare = 0.8

// formGroups plans new groups from the free upstreams, domain by domain.
func (d *decision) formGroups() {
	groups := d.countGroups()
	divisions := d.apportion(groups)
	for _, domain := range d.domainsWithFreeUpstreams() {
		for d.formGroup(domain, groups, divisions[domain]) {
			continue
		}
	}
}

// domainsWithFreeUpstreams returns the fabric domains that have free upstreams, those
// with the most first.
func (d *decision) domainsWithFreeUpstreams() []string {
	count := make(map[string]int)
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		if d.isFree(u) {
			count[u.Domain]++
		}
	}
	list := slices.Collect(maps.Keys(count))
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a, b))
	})
	return list
}

// isFree reports whether an upstream may join a new group.
func (d *decision) isFree(u cataloguer.Upstream) bool {
	return !d.reserved[u.ID] && !u.Draining && !d.snapshot.Evacuated[u.DataCentre] && !d.snapshot.Lost[u.ID] && !d.hasPendingOrder(u.ID)
}

// choice is a group that a domain may form.
type choice struct {
	model   cataloguer.Model
	members []cataloguer.Upstream
	loads   int
	// isApportioned is true if the division of the domain has another group of the model.
	isApportioned bool
	// isStarved is true if the model's groups serve far less of its share of the load than
	// those of another model do.
	isStarved bool
	// demandPerGroup falls as the model gets more groups.
	demandPerGroup float64
}

// isBetter reports whether the domain should form c rather than other. Once there is
// traffic, it prefers a starved model that the division of the domain allows, and then
// the model that needs the fewest loads. Before that, and among equals, it prefers the
// model with the highest demand per group.
func (c *choice) isBetter(other *choice, trafficStarted bool) bool {
	if !trafficStarted {
		return c.demandPerGroup > other.demandPerGroup
	}
	if first, second := c.isStarved && c.isApportioned, other.isStarved && other.isApportioned; first != second {
		return first
	}
	if c.loads != other.loads {
		return c.loads < other.loads
	}
	return c.demandPerGroup > other.demandPerGroup
}

// formGroup plans one group in a domain, and reports whether it did. division is the
// number of new groups of each model that the domain should get, which it reduces.
func (d *decision) formGroup(domain string, groups groupCounts, division map[string]int) bool {
	candidates := d.candidates(domain)
	if len(candidates) == 0 {
		return false
	}
	dataCentre := candidates[0].DataCentre
	starved := d.starvedModels(groups, domain, dataCentre)
	var best *choice
	for _, m := range d.snapshot.Engine.Models {
		c := d.choiceOf(domain, candidates, m)
		if c == nil {
			continue
		}
		c.isApportioned, c.isStarved = division[m.Name] > 0, starved[m.Name]
		c.demandPerGroup = demand(m) / (groups.of(m, dataCentre) + 1)
		if !d.snapshot.TrafficStarted && !c.isApportioned {
			continue
		}
		if !c.isStarved && d.replacesAny(c, starved) {
			continue
		}
		if best == nil || c.isBetter(best, d.snapshot.TrafficStarted) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	d.startPlan(d.newPlan(domain, dataCentre, best.model, best.members))
	groups.add(best.model, dataCentre, domain)
	division[best.model.Name]--
	return true
}

// replacesAny reports whether a group would load its model on an upstream that has one of
// the given models.
func (d *decision) replacesAny(c *choice, models map[string]bool) bool {
	return slices.ContainsFunc(c.members, func(u cataloguer.Upstream) bool {
		if d.hasOrStagesModel(u, c.model) {
			return false
		}
		return models[d.staging[u.ID].model] || slices.ContainsFunc(u.StagedModels, func(name string) bool { return models[name] })
	})
}

// choiceOf returns the group of a model that a domain may form now, or nil if there is
// none.
func (d *decision) choiceOf(domain string, candidates []cataloguer.Upstream, m cataloguer.Model) *choice {
	members := d.selectMembers(candidates, m)
	if members == nil {
		return nil
	}
	loads := 0
	for _, u := range members {
		if !d.hasOrStagesModel(u, m) {
			loads++
		}
	}
	if !d.mayLoad(loads) || loads > 0 && !d.mayFormWithLoads(domain, members, m) || !d.mayAddGroup(domain, candidates, members, m) {
		return nil
	}
	return &choice{model: m, members: members, loads: loads}
}

// mayAddGroup reports whether a domain may form a group of the members. Ahead of the
// first request, while upstreams still appear, the domain waits until it has enough
// upstreams for one group of each model. Once there is traffic, a group of which
// more than half of the members lack the model is not the replacement of an earlier
// group, so it must leave _sparesPerDomain free upstreams.
func (d *decision) mayAddGroup(domain string, candidates, members []cataloguer.Upstream, m cataloguer.Model) bool {
	if !d.snapshot.TrafficStarted {
		sizes := 0
		for _, x := range d.snapshot.Engine.Models {
			sizes += x.GroupSize
		}
		count := d.domainSizes[domain].count
		return count >= sizes || d.now.Sub(d.domainSizes[domain].changedAt) >= _arrivalSettleTime
	}
	loads := 0
	for _, u := range members {
		if !hasModel(u, m) {
			loads++
		}
	}
	if loads*2 <= m.GroupSize {
		return true
	}
	return len(candidates) >= m.GroupSize+_sparesPerDomain
}

// mayFormWithLoads reports whether a group that needs loads may be formed now. While
// upstreams of the domain come back with models on their hosts, a group that needs
// fewer loads may soon be possible, so models are not replaced yet.
func (d *decision) mayFormWithLoads(domain string, members []cataloguer.Upstream, m cataloguer.Model) bool {
	if !d.snapshot.TrafficStarted {
		return true
	}
	if d.stagedUpstreamSoonFree(domain) {
		return false
	}
	if d.now.Sub(d.returnedAt[domain]) >= _domainSettleTime {
		return true
	}
	for _, u := range members {
		if !d.hasOrStagesModel(u, m) && (len(u.StagedModels) > 0 || u.Group.Name != "") {
			return false
		}
	}
	return true
}

// stagedUpstreamSoonFree reports whether an upstream of the domain that has a staged
// model becomes free once its pending order takes effect. With that upstream, a group
// may need fewer loads.
func (d *decision) stagedUpstreamSoonFree(domain string) bool {
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		soon := d.hasPendingOrder(u.ID) && (!d.reserved[u.ID] || d.sent[u.ID].operation == OperationLeave)
		if u.Domain == domain && soon && !u.Draining && !d.snapshot.Lost[u.ID] && len(u.StagedModels) > 0 {
			return true
		}
	}
	return false
}

// demand returns a model's demand for groups, relative to that of other models.
func demand(m cataloguer.Model) float64 { return m.InitialShare / float64(m.GroupSize) }

// hasOrStagesModel reports whether an upstream has a model or is staging it, so that it
// can join a group of the model without another load.
func (d *decision) hasOrStagesModel(u cataloguer.Upstream, m cataloguer.Model) bool {
	return hasModel(u, m) || d.staging[u.ID].model == m.Name
}

// hasModel reports whether an upstream has a model loaded or staged on its host.
func hasModel(u cataloguer.Upstream, m cataloguer.Model) bool {
	return u.Group.Model == m.Name || slices.Contains(u.StagedModels, m.Name)
}

// candidates returns a domain's free upstreams that can join a new group now, which
// excludes members of an older group whose head is not free.
func (d *decision) candidates(domain string) []cataloguer.Upstream {
	var out []cataloguer.Upstream
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		if u.Domain == domain && d.isFree(u) && d.oldHeadIsFree(u) {
			out = append(out, u)
		}
	}
	return out
}

// oldHeadIsFree reports whether the head of an upstream's older group, if there is
// one other than the upstream, is free to join a new group before the upstream does.
func (d *decision) oldHeadIsFree(u cataloguer.Upstream) bool {
	k := groupKey{u.Group.Name, u.Group.Epoch}
	x := d.byKey[k]
	return u.Group.Rank == 0 || x == nil || x.head == nil || d.isFree(*x.head)
}

// selectMembers returns the members of a new group, the head first: upstreams that
// need no load come first, and the head of an older group comes before that group's
// members, since they can't join before it. It returns nil if there are too few
// candidates.
func (d *decision) selectMembers(candidates []cataloguer.Upstream, m cataloguer.Model) []cataloguer.Upstream {
	if len(candidates) < m.GroupSize {
		return nil
	}
	return d.byPreference(candidates, m)[:m.GroupSize]
}

// byPreference sorts candidates by how well they suit a new group of a model.
func (d *decision) byPreference(candidates []cataloguer.Upstream, m cataloguer.Model) []cataloguer.Upstream {
	list := slices.Clone(candidates)
	preference := func(u cataloguer.Upstream) int {
		switch {
		case u.Unlisted:
			// An unlisted upstream can't be the head, and may be about to leave.
			return 6
		case u.Group.Name != "" && u.Group.Model == m.Name && !u.Outdated:
			return 0
		case hasModel(u, m) && u.Outdated:
			// Its entry may be about to expire, which would close the group of a head.
			return 2
		case hasModel(u, m):
			return 1
		case d.hasOrStagesModel(u, m):
			return 3
		case u.Group.Name == "" && len(u.StagedModels) == 0:
			return 4
		default:
			return 5
		}
	}
	slices.SortStableFunc(list, func(a, b cataloguer.Upstream) int {
		return cmp.Or(
			cmp.Compare(preference(a), preference(b)),
			cmp.Compare(a.Group.Epoch, b.Group.Epoch),
			cmp.Compare(a.Group.Rank, b.Group.Rank),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list
}

func (d *decision) newPlan(domain, dataCentre string, m cataloguer.Model, members []cataloguer.Upstream) *plan {
	p := &plan{
		domain: domain, dataCentre: dataCentre, model: m, startedAt: d.now, accepted: make(map[string]bool),
		loadedAt: make(map[string]time.Time), observed: make(map[string]cataloguer.Membership),
	}
	for _, u := range members {
		p.members = append(p.members, u.ID)
		p.observed[u.ID] = u.Group
	}
	return p
}

// startPlan gives a plan its epoch and group name, records the loads that the joins
// begin and orders the first joins.
func (d *decision) startPlan(p *plan) {
	epoch := d.nextEpoch()
	p.key = groupKey{name: groupName(p.domain, epoch), epoch: epoch}
	d.plans[epoch] = p
	for _, id := range p.members {
		d.reserved[id] = true
		u := d.snapshot.Fleet.Upstreams[id]
		switch {
		case hasModel(u, p.model):
		case d.staging[id].model == p.model.Name:
			p.loadedAt[id] = d.staging[id].until.Add(-_joinMargin)
		default:
			d.recordLoad(id, p.model)
			p.loadedAt[id] = d.loadingUntil[id]
		}
		delete(d.staging, id)
	}
	d.orderJoins(p)
}

// mayLoad reports whether the given number of loads may begin now, in addition to
// those that run.
func (d *decision) mayLoad(loads int) bool {
	if loads == 0 {
		return true
	}
	maxLoads := d.snapshot.Engine.MaxConcurrentLoads
	if !d.snapshot.TrafficStarted {
		// Loads that begin before the first request are quick even if more than
		// MaxConcurrentLoads run.
		return maxLoads == 0 || len(d.loadingUntil) < maxLoads*_earlyLoadFactor
	}
	if maxLoads > 0 && len(d.loadingUntil) >= maxLoads {
		return false
	}
	if d.snapshot.Engine.MaxLoadsPerSecond == 0 {
		return true
	}
	allowed := d.snapshot.Engine.MaxLoadsPerSecond * _loadWindow.Seconds() * _loadRateShare
	return float64(len(d.loadStarts)+loads) <= allowed
}

// recordLoad records that an upstream begins to load a model.
func (d *decision) recordLoad(id string, m cataloguer.Model) {
	const earlySpeedup = 10 // loads before the first request take a tenth of the time
	duration := m.LoadTime
	if !d.snapshot.TrafficStarted {
		duration /= earlySpeedup
	} else {
		d.loadStarts = append(d.loadStarts, d.now)
	}
	d.loadingUntil[id] = d.now.Add(duration)
}

// groupName returns the name of a group, which the epoch makes unique.
func groupName(domain string, epoch uint64) string {
	return "lb-" + domain + "-" + strconv.FormatUint(epoch, 10)
}
