package grouper

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _domainSettled is how long the number of a domain's upstreams must stand still
// before hosts that hold another model are loaded anew.
const _domainSettleTime = 3 * time.Second

const (
	// _appearing is how long a domain's number of upstreams must stand still
	// before it counts as complete, ahead of the first request.
	_arrivalSettleTime = time.Second
	// _earlyOverlap is how many times the loads that run at full speed may be
	// under way ahead of the first request.
	_earlyLoadFactor = 2
	// _spares is the number of upstreams of a domain that are kept for repairs.
	_sparesPerDomain = 2
)

// _loadBudget is the part of the allowed loads that is used; the rest covers
// loads that an earlier lease holder began.
const _loadRateShare = 0.8

// form plans new groups from the upstreams that are free, domain by domain.
func (d *decision) formGroups() {
	have := d.countGroups()
	for _, domain := range d.domainsWithFree() {
		for d.formGroup(domain, have) {
			continue
		}
	}
}

// formed counts the groups of each model that serve or are being formed.
func (d *decision) countGroups() map[string]int {
	have := make(map[string]int)
	for _, x := range d.groups {
		if d.plans[x.key.epoch] == nil && x.isComplete() && x.drainingCount == 0 {
			have[x.model.Name]++
		}
	}
	for _, p := range d.plans {
		have[p.model.Name]++
	}
	return have
}

// domains lists the fabric domains, those with the most free upstreams first.
func (d *decision) domainsWithFree() []string {
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

// free says that an upstream may join a new group.
func (d *decision) isFree(u cataloguer.Upstream) bool {
	return !d.reserved[u.ID] && !u.Draining && !d.snapshot.Lost[u.ID] && !d.isPending(u.ID)
}

// formOne plans one group in a domain, and says whether it did.
func (d *decision) formGroup(domain string, have map[string]int) bool {
	candidates := d.candidates(domain)
	var best *plan
	bestLoads, bestLack := 0, 0.0
	for _, m := range d.snapshot.Engine.Models {
		members := d.selectMembers(candidates, m)
		if members == nil {
			continue
		}
		loads := 0
		for _, u := range members {
			if !d.hasOrLoads(u, m) {
				loads++
			}
		}
		if !d.mayLoad(loads) || loads > 0 && !d.mayFormWithLoads(domain, members, m) || !d.mayAddGroup(domain, candidates, members, m) {
			continue
		}
		// lack is the smaller, the better a model is supplied for its need.
		lack := demand(m) / float64(have[m.Name]+1)
		better := best == nil || lack > bestLack
		if d.snapshot.TrafficStarted && best != nil && loads != bestLoads {
			better = loads < bestLoads
		}
		if better {
			best, bestLoads, bestLack = d.newPlan(domain, m, members), loads, lack
		}
	}
	if best == nil {
		return false
	}
	d.startPlan(best)
	have[best.model.Name]++
	return true
}

// mayGrow says that a group may be formed that replaces none. While upstreams
// still appear, a domain waits until every model could have a group there. Once
// callers are served, some upstreams are kept as spares.
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

// mayOverwrite says that a group may be formed with loads now. While upstreams
// of the domain come back with other models on their hosts, a group that needs
// few loads is better than one at once.
func (d *decision) mayFormWithLoads(domain string, members []cataloguer.Upstream, m cataloguer.Model) bool {
	if !d.snapshot.TrafficStarted {
		return true
	}
	if d.stagedSoonFree(domain) {
		return false
	}
	if d.now.Sub(d.domainSizes[domain].changedAt) >= _domainSettleTime {
		return true
	}
	for _, u := range members {
		if !d.hasOrLoads(u, m) && (len(u.StagedModels) > 0 || u.Group.Name != "") {
			return false
		}
	}
	return true
}

// soonFree says that an upstream of the domain that holds a model will be free in
// a moment; with it a group may need fewer loads.
func (d *decision) stagedSoonFree(domain string) bool {
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		soon := d.isPending(u.ID) && (!d.reserved[u.ID] || d.sent[u.ID].operation == OperationLeave)
		if u.Domain == domain && soon && !u.Draining && !d.snapshot.Lost[u.ID] && len(u.StagedModels) > 0 {
			return true
		}
	}
	return false
}

// need is a model's need of groups, relative to other models.
func demand(m cataloguer.Model) float64 { return m.InitialShare / float64(m.GroupSize) }

// warm says that an upstream can join a model's group without a load, or with
// one that has begun.
func (d *decision) hasOrLoads(u cataloguer.Upstream, m cataloguer.Model) bool {
	return hasModel(u, m) || d.staging[u.ID].model == m.Name
}

// loaded says that an upstream has a model on its host.
func hasModel(u cataloguer.Upstream, m cataloguer.Model) bool {
	return u.Group.Model == m.Name || slices.Contains(u.StagedModels, m.Name)
}

// candidates lists a domain's free upstreams: former heads first, so that their
// members are free in the same plan.
func (d *decision) candidates(domain string) []cataloguer.Upstream {
	var out []cataloguer.Upstream
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		if u.Domain == domain && d.isFree(u) && d.headIsFree(u) {
			out = append(out, u)
		}
	}
	return out
}

// headFree says that the head of a member's older group can join with it, or
// need not.
func (d *decision) headIsFree(u cataloguer.Upstream) bool {
	k := groupKey{u.Group.Name, u.Group.Epoch}
	x := d.byKey[k]
	return u.Group.Rank == 0 || x == nil || x.head == nil || d.isFree(*x.head)
}

// pick chooses the members of a group: those that need no load first, and a
// former head before its members, since they can't join before it. It returns
// nil where there are too few.
func (d *decision) selectMembers(candidates []cataloguer.Upstream, m cataloguer.Model) []cataloguer.Upstream {
	if len(candidates) < m.GroupSize {
		return nil
	}
	list := slices.Clone(candidates)
	rank := func(u cataloguer.Upstream) int {
		switch {
		case u.Unlisted:
			// It can't be the head, and may be about to leave.
			return 5
		case u.Group.Name != "" && u.Group.Model == m.Name:
			return 0
		case hasModel(u, m):
			return 1
		case d.hasOrLoads(u, m):
			return 2
		case u.Group.Name == "" && len(u.StagedModels) == 0:
			return 3
		default:
			return 4
		}
	}
	slices.SortStableFunc(list, func(a, b cataloguer.Upstream) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(a.Group.Epoch, b.Group.Epoch),
			cmp.Compare(a.Group.Rank, b.Group.Rank),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list[:m.GroupSize]
}

func (d *decision) newPlan(domain string, m cataloguer.Model, members []cataloguer.Upstream) *plan {
	p := &plan{
		domain: domain, model: m, startedAt: d.now, accepted: make(map[string]bool),
		observed: make(map[string]cataloguer.Membership),
	}
	for _, u := range members {
		p.members = append(p.members, u.ID)
		p.observed[u.ID] = u.Group
	}
	return p
}

// begun starts a plan.
func (d *decision) startPlan(p *plan) {
	epoch := d.nextEpoch()
	p.key = groupKey{name: groupName(p.domain, epoch), epoch: epoch}
	d.plans[epoch] = p
	for _, id := range p.members {
		d.reserved[id] = true
		if u := d.snapshot.Fleet.Upstreams[id]; !d.hasOrLoads(u, p.model) {
			d.recordLoad(id, p.model)
		}
		delete(d.staging, id)
	}
	d.orderJoins(p)
}

// mayLoad says that so many more loads may begin.
func (d *decision) mayLoad(loads int) bool {
	if loads == 0 {
		return true
	}
	atOnce := d.snapshot.Engine.MaxConcurrentLoads
	if !d.snapshot.TrafficStarted {
		// Loads that begin before the first request stay quick, so more begin than
		// run at full speed.
		return atOnce == 0 || len(d.loadingUntil) < atOnce*_earlyLoadFactor
	}
	if atOnce > 0 && len(d.loadingUntil) >= atOnce {
		return false
	}
	if d.snapshot.Engine.MaxLoadsPerSecond == 0 {
		return true
	}
	allowed := d.snapshot.Engine.MaxLoadsPerSecond * _loadWindow.Seconds() * _loadRateShare
	return float64(len(d.loadStarts)+loads) <= allowed
}

// load notes that a load begins.
func (d *decision) recordLoad(id string, m cataloguer.Model) {
	const early = 10 // loads before the first request take a tenth of the time
	takes := m.LoadTime
	if !d.snapshot.TrafficStarted {
		takes /= early
	} else {
		d.loadStarts = append(d.loadStarts, d.now)
	}
	d.loadingUntil[id] = d.now.Add(takes)
}

// stage loads a model onto the hosts of free upstreams, so that they can replace
// a lost member quickly. Before the first request, groups go first.
func (d *decision) stageSpares() {
	if !d.snapshot.TrafficStarted && d.now.Sub(d.domainSizes[""].changedAt) < _fleetSettleTime {
		return
	}
	for _, domain := range d.domainsWithFree() {
		spares := d.candidates(domain)
		if !d.snapshot.TrafficStarted && len(spares) >= d.smallestGroupSize() {
			// A group may still be formed here.
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
			_, under := d.staging[u.ID]
			if !ok || under || len(u.StagedModels) > 0 || u.Group.Name != "" || d.snapshot.TrafficStarted && !d.mayLoad(1) {
				continue
			}
			count[m.Name]++
			d.recordLoad(u.ID, m)
			d.staging[u.ID] = stagingLoad{model: m.Name, until: d.now.Add(m.LoadTime + _joinMargin)}
			d.addOrder(Order{Operation: OperationStage, Upstream: u.ID, Model: m.Name, Observed: u.Group, Reason: "spare"})
		}
	}
}

// smallest returns the number of upstreams of the smallest group.
func (d *decision) smallestGroupSize() int {
	least := 0
	for _, m := range d.snapshot.Engine.Models {
		if least == 0 || m.GroupSize < least {
			least = m.GroupSize
		}
	}
	return least
}

// wanted returns the model that a domain's next spare should hold: the one with
// the most members for each spare. Among equals it is the one with fewer spares,
// and then the one whose groups are larger, since a lost member strands the others.
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
		// Members for each spare, compared without a division.
		left, right := members[a.Name]*(spares[b.Name]+1), members[b.Name]*(spares[a.Name]+1)
		return cmp.Or(cmp.Compare(right, left), cmp.Compare(spares[a.Name], spares[b.Name]), cmp.Compare(b.GroupSize, a.GroupSize))
	})
	return models[0], true
}

// groupName names a group by its domain and epoch, which no other group has.
func groupName(domain string, epoch uint64) string {
	return "lb-" + domain + "-" + strconv.FormatUint(epoch, 10)
}
