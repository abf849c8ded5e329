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
const _domainSettled = 3 * time.Second

const (
	// _appearing is how long a domain's number of upstreams must stand still
	// before it counts as complete, ahead of the first request.
	_appearing = time.Second
	// _earlyOverlap is how many times the loads that run at full speed may be
	// under way ahead of the first request.
	_earlyOverlap = 2
	// _spares is the number of upstreams of a domain that are kept for repairs.
	_spares = 2
)

// _loadBudget is the part of the allowed loads that is used; the rest covers
// loads that an earlier lease holder began.
const _loadBudget = 0.8

// form plans new groups from the upstreams that are free, domain by domain.
func (d *decision) form() {
	have := d.formed()
	for _, domain := range d.domains() {
		for d.formOne(domain, have) {
			continue
		}
	}
}

// formed counts the groups of each model that serve or are being formed.
func (d *decision) formed() map[string]int {
	have := make(map[string]int)
	for _, x := range d.groups {
		if d.plans[x.key.epoch] == nil && x.whole() && x.leaving == 0 {
			have[x.model.Name]++
		}
	}
	for _, p := range d.plans {
		have[p.model.Name]++
	}
	return have
}

// domains lists the fabric domains, those with the most free upstreams first.
func (d *decision) domains() []string {
	count := make(map[string]int)
	for _, u := range d.world.Fleet.OfService(d.world.Service) {
		if d.free(u) {
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
func (d *decision) free(u cataloguer.Upstream) bool {
	return !d.taken[u.ID] && !u.Draining && !d.world.Lost[u.ID] && !d.waits(u.ID)
}

// formOne plans one group in a domain, and says whether it did.
func (d *decision) formOne(domain string, have map[string]int) bool {
	candidates := d.candidates(domain)
	var best *plan
	bestLoads, bestLack := 0, 0.0
	for _, m := range d.world.Engine.Models {
		members := d.pick(candidates, m)
		if members == nil {
			continue
		}
		loads := 0
		for _, u := range members {
			if !d.warm(u, m) {
				loads++
			}
		}
		if !d.mayLoad(loads) || loads > 0 && !d.mayOverwrite(domain, members, m) || !d.mayGrow(domain, candidates, members, m) {
			continue
		}
		// lack is the smaller, the better a model is supplied for its need.
		lack := need(m) / float64(have[m.Name]+1)
		better := best == nil || lack > bestLack
		if d.world.Busy && best != nil && loads != bestLoads {
			better = loads < bestLoads
		}
		if better {
			best, bestLoads, bestLack = d.plan(domain, m, members), loads, lack
		}
	}
	if best == nil {
		return false
	}
	d.begun(best)
	have[best.model.Name]++
	return true
}

// mayGrow says that a group may be formed that replaces none. While upstreams
// still appear, a domain waits until every model could have a group there. Once
// callers are served, some upstreams are kept as spares.
func (d *decision) mayGrow(domain string, candidates, members []cataloguer.Upstream, m cataloguer.Model) bool {
	if !d.world.Busy {
		sizes := 0
		for _, x := range d.world.Engine.Models {
			sizes += x.GroupSize
		}
		count := d.grown[domain].size
		return count >= sizes || d.now.Sub(d.grown[domain].at) >= _appearing
	}
	loads := 0
	for _, u := range members {
		if !loaded(u, m) {
			loads++
		}
	}
	if loads*2 <= m.GroupSize {
		return true
	}
	return len(candidates) >= m.GroupSize+_spares
}

// mayOverwrite says that a group may be formed with loads now. While upstreams
// of the domain come back with other models on their hosts, a group that needs
// few loads is better than one at once.
func (d *decision) mayOverwrite(domain string, members []cataloguer.Upstream, m cataloguer.Model) bool {
	if !d.world.Busy {
		return true
	}
	if d.soonFree(domain) {
		return false
	}
	if d.now.Sub(d.grown[domain].at) >= _domainSettled {
		return true
	}
	for _, u := range members {
		if !d.warm(u, m) && (len(u.StagedModels) > 0 || u.Group.Name != "") {
			return false
		}
	}
	return true
}

// soonFree says that an upstream of the domain that holds a model will be free in
// a moment; with it a group may need fewer loads.
func (d *decision) soonFree(domain string) bool {
	for _, u := range d.world.Fleet.OfService(d.world.Service) {
		soon := d.waits(u.ID) && (!d.taken[u.ID] || d.sent[u.ID].operation == OperationLeave)
		if u.Domain == domain && soon && !u.Draining && !d.world.Lost[u.ID] && len(u.StagedModels) > 0 {
			return true
		}
	}
	return false
}

// need is a model's need of groups, relative to other models.
func need(m cataloguer.Model) float64 { return m.InitialShare / float64(m.GroupSize) }

// warm says that an upstream can join a model's group without a load, or with
// one that has begun.
func (d *decision) warm(u cataloguer.Upstream, m cataloguer.Model) bool {
	return loaded(u, m) || d.staging[u.ID].model == m.Name
}

// loaded says that an upstream has a model on its host.
func loaded(u cataloguer.Upstream, m cataloguer.Model) bool {
	return u.Group.Model == m.Name || slices.Contains(u.StagedModels, m.Name)
}

// candidates lists a domain's free upstreams: former heads first, so that their
// members are free in the same plan.
func (d *decision) candidates(domain string) []cataloguer.Upstream {
	var out []cataloguer.Upstream
	for _, u := range d.world.Fleet.OfService(d.world.Service) {
		if u.Domain == domain && d.free(u) && d.headFree(u) {
			out = append(out, u)
		}
	}
	return out
}

// headFree says that the head of a member's older group can join with it, or
// need not.
func (d *decision) headFree(u cataloguer.Upstream) bool {
	k := key{u.Group.Name, u.Group.Epoch}
	x := d.byKey[k]
	return u.Group.Rank == 0 || x == nil || x.head == nil || d.free(*x.head)
}

// pick chooses the members of a group: those that need no load first, and a
// former head before its members, since they can't join before it. It returns
// nil where there are too few.
func (d *decision) pick(candidates []cataloguer.Upstream, m cataloguer.Model) []cataloguer.Upstream {
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
		case loaded(u, m):
			return 1
		case d.warm(u, m):
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

func (d *decision) plan(domain string, m cataloguer.Model, members []cataloguer.Upstream) *plan {
	p := &plan{
		domain: domain, model: m, begun: d.now, accepted: make(map[string]bool),
		from: make(map[string]cataloguer.Membership),
	}
	for _, u := range members {
		p.members = append(p.members, u.ID)
		p.from[u.ID] = u.Group
	}
	return p
}

// begun starts a plan.
func (d *decision) begun(p *plan) {
	epoch := d.epoch()
	p.key = key{name: groupName(p.domain, epoch), epoch: epoch}
	d.plans[epoch] = p
	for _, id := range p.members {
		d.taken[id] = true
		if u := d.world.Fleet.Upstreams[id]; !d.warm(u, p.model) {
			d.load(id, p.model)
		}
		delete(d.staging, id)
	}
	d.join(p)
}

// mayLoad says that so many more loads may begin.
func (d *decision) mayLoad(loads int) bool {
	if loads == 0 {
		return true
	}
	atOnce := d.world.Engine.MaxConcurrentLoads
	if !d.world.Busy {
		// Loads that begin before the first request stay quick, so more begin than
		// run at full speed.
		return atOnce == 0 || len(d.loading) < atOnce*_earlyOverlap
	}
	if atOnce > 0 && len(d.loading) >= atOnce {
		return false
	}
	if d.world.Engine.MaxLoadsPerSecond == 0 {
		return true
	}
	allowed := d.world.Engine.MaxLoadsPerSecond * _loadWindow.Seconds() * _loadBudget
	return float64(len(d.loads)+loads) <= allowed
}

// load notes that a load begins.
func (d *decision) load(id string, m cataloguer.Model) {
	const early = 10 // loads before the first request take a tenth of the time
	takes := m.LoadTime
	if !d.world.Busy {
		takes /= early
	} else {
		d.loads = append(d.loads, d.now)
	}
	d.loading[id] = d.now.Add(takes)
}

// stage loads a model onto the hosts of free upstreams, so that they can replace
// a lost member quickly. Before the first request, groups go first.
func (d *decision) stage() {
	if !d.world.Busy && d.now.Sub(d.grown[""].at) < _settled {
		return
	}
	for _, domain := range d.domains() {
		spares := d.candidates(domain)
		if !d.world.Busy && len(spares) >= d.smallest() {
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
			m, ok := d.wanted(domain, count)
			_, under := d.staging[u.ID]
			if !ok || under || len(u.StagedModels) > 0 || u.Group.Name != "" || d.world.Busy && !d.mayLoad(1) {
				continue
			}
			count[m.Name]++
			d.load(u.ID, m)
			d.staging[u.ID] = staging{model: m.Name, until: d.now.Add(m.LoadTime + _joinMargin)}
			d.order(Order{Operation: OperationStage, Upstream: u.ID, Model: m.Name, From: u.Group, Reason: "spare"})
		}
	}
}

// smallest returns the number of upstreams of the smallest group.
func (d *decision) smallest() int {
	least := 0
	for _, m := range d.world.Engine.Models {
		if least == 0 || m.GroupSize < least {
			least = m.GroupSize
		}
	}
	return least
}

// wanted returns the model that a domain's next spare should hold: the one with
// the most members for each spare. Among equals it is the one with fewer spares,
// and then the one whose groups are larger, since a lost member strands the others.
func (d *decision) wanted(domain string, spares map[string]int) (cataloguer.Model, bool) {
	members := make(map[string]int)
	for _, u := range d.world.Fleet.OfService(d.world.Service) {
		if u.Domain == domain && u.Group.Name != "" && !isStandby(u.Group.Name) {
			members[u.Group.Model]++
		}
	}
	for _, p := range d.plans {
		if p.domain == domain {
			members[p.model.Name] += len(p.members)
		}
	}
	models := slices.Clone(d.world.Engine.Models)
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
