package grouper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// decision is one call of Decide.
type decision struct {
	*Grouper
	now      time.Time
	snapshot Snapshot
	orders   []Order
	groups   []*group
	byKey    map[groupKey]*group
	// taken are upstreams that this decision has already used.
	reserved map[string]bool
}

// survey sorts the fleet into groups.
func (d *decision) collectGroups() {
	d.byKey = make(map[groupKey]*group)
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		if u.Group.Name == "" {
			continue
		}
		k := groupKey{u.Group.Name, u.Group.Epoch}
		x := d.byKey[k]
		if x == nil {
			m, _ := d.snapshot.Engine.Model(u.Group.Model)
			x = &group{key: k, model: m}
			d.byKey[k] = x
			d.groups = append(d.groups, x)
		}
		x.members = append(x.members, u)
		if d.snapshot.Lost[u.ID] {
			x.lostCount++
		}
		if d.snapshot.Rechecking[u.ID] {
			x.recheckingCount++
		}
		if u.Draining {
			x.drainingCount++
		}
	}
	for _, x := range d.groups {
		slices.SortFunc(x.members, compareRanks)
		if x.members[0].Group.Rank == 0 {
			x.head = &x.members[0]
		}
	}
	slices.SortFunc(d.groups, func(a, b *group) int { return cmp.Compare(a.key.epoch, b.key.epoch) })
}

// progress gives the joins of the plans that are under way, and drops plans that
// can't be carried out any more or are done.
func (d *decision) advancePlans() {
	for _, epoch := range slices.Sorted(maps.Keys(d.plans)) {
		p := d.plans[epoch]
		for _, id := range p.members {
			u, ok := d.snapshot.Fleet.Upstreams[id]
			if !ok || d.snapshot.Lost[id] || u.Draining {
				d.dropPlan(p)
				break
			}
			joined := u.Group.Name == p.key.name && u.Group.Epoch == epoch
			if joined {
				p.accepted[id] = true
			}
			if !joined && u.Group.Epoch > epoch {
				// Another process has taken it.
				d.dropPlan(p)
				break
			}
		}
		if d.plans[epoch] == nil || d.now.Sub(p.startedAt) > p.model.LoadTime+_joinMargin {
			d.dropPlan(p)
			continue
		}
		if x := d.byKey[p.key]; x != nil && x.isComplete() && x.allIn(cataloguer.MemberReady, cataloguer.MemberOpen) {
			delete(d.plans, epoch)
			continue
		}
		for _, id := range p.members {
			d.reserved[id] = true
		}
		d.orderJoins(p)
	}
}

// join gives the joins of a plan that may be given now: a member of an older
// group joins only after that group's head has.
func (d *decision) orderJoins(p *plan) {
	for _, id := range p.members {
		from := p.observed[id]
		if p.accepted[id] || d.isPending(id) || !d.headHasJoined(p, id, from) {
			continue
		}
		d.addOrder(Order{
			Operation: OperationJoin, Upstream: id, Group: p.key.name, Epoch: p.key.epoch, Model: p.model.Name,
			Members: p.members, Observed: from, Reason: "form",
		})
	}
}

// headLeft says that the head of a member's older group has joined the plan, or
// is known to be in another group.
func (d *decision) headHasJoined(p *plan, id string, from cataloguer.Membership) bool {
	if from.Name == "" || from.Rank == 0 {
		return true
	}
	x := d.byKey[groupKey{from.Name, from.Epoch}]
	if x == nil || x.head == nil {
		return true
	}
	return p.accepted[x.head.ID]
}

// waits says that an order to the upstream is under way, or was given so
// recently that its effect may not show yet.
func (d *decision) isPending(id string) bool {
	s, ok := d.sent[id]
	switch {
	case !ok:
		return false
	case s.unanswered:
		return true
	default:
		return d.now.Sub(s.at) < _resendDelay && d.snapshot.Fleet.Upstreams[id].Group == s.observed
	}
}

func (d *decision) addOrder(o Order) {
	from := d.snapshot.Fleet.Upstreams[o.Upstream].Group
	d.sent[o.Upstream] = sentOrder{at: d.now, operation: o.Operation, epoch: o.Epoch, observed: from, unanswered: true}
	d.reserved[o.Upstream] = true
	d.orders = append(d.orders, o)
}

// tend opens a complete group, and closes or frees one that lost a member.
func (d *decision) updateGroup(x *group) {
	dropped := d.dropped[x.key] && x.head != nil && x.head.Group.State != cataloguer.MemberOpen
	switch {
	case d.plans[x.key.epoch] != nil, x.isStandby():
		// It is being formed, or never opens.
	case x.isBeingRechecked():
		// The answers to the checks decide.
		d.reserve(x)
	case x.isComplete() && x.head.Unlisted:
		d.handleUnlistedHead(x)
	case dropped:
		// Its members are free; nothing was opened.
	case x.isComplete() && x.drainingCount > 0:
		d.closeGroup(x, false, "member leaves")
	case x.isComplete() && x.allIn(cataloguer.MemberReady, cataloguer.MemberOpen):
		d.openGroup(x)
	case d.isForming(x):
		d.reserve(x)
	default:
		d.closeGroup(x, true, "member lost")
	}
}

// tendUnlisted keeps a group whose head's entry has gone for a while, since it may
// come back; nobody sends it requests meanwhile.
func (d *decision) handleUnlistedHead(x *group) {
	if d.conditionAge(d.now, x.key, "unlisted") < _unlistedHeadGrace {
		d.reserve(x)
		return
	}
	d.closeGroup(x, false, "head unlisted")
}

// tendComplete opens a group whose members are all ready.
func (d *decision) openGroup(x *group) {
	d.reserve(x)
	if x.head.Group.State == cataloguer.MemberOpen {
		d.opened[x.key] = true
	}
	if x.head.Group.State == cataloguer.MemberReady && !d.isPending(x.head.ID) && !d.closedByOtherProcess(x) {
		d.addOrder(x.headOrder(OperationOpen, "complete"))
	}
}

// forming says that members of a group are still on their way, by this process's
// orders or by those of another. One that this process has closed has lost those that it lacks.
func (d *decision) isForming(x *group) bool {
	if x.lostCount > 0 || x.drainingCount > 0 {
		return false
	}
	if x.isComplete() && d.conditionAge(d.now, x.key, "forming") < x.model.LoadTime+_joinMargin {
		return true
	}
	return !d.closed[x.key] && x.allIn(cataloguer.MemberJoining, cataloguer.MemberReady) && d.conditionAge(d.now, x.key, "forming") < x.model.WarmUpTime+_joinMargin
}

// closedByAnother says that another process has closed a group a moment ago.
func (d *decision) closedByOtherProcess(x *group) bool {
	return d.opened[x.key] && !d.closed[x.key] && d.conditionAge(d.now, x.key, "closed by another") < _reopenDelay
}

// close ends the service of a group and keeps its members until its head serves
// no more.
func (d *decision) closeGroup(x *group, evict bool, reason string) {
	if x.head == nil || d.snapshot.Lost[x.head.ID] {
		d.releaseMembers(x)
		return
	}
	switch x.head.Group.State {
	case cataloguer.MemberOpen:
		d.reserve(x)
		if !d.isPending(x.head.ID) {
			o := x.headOrder(OperationClose, reason)
			o.Evict = evict
			d.closed[x.key] = true
			d.addOrder(o)
		}
	case cataloguer.MemberClosing:
		d.reserve(x)
		if evict && d.conditionAge(d.now, x.key, "closing") > time.Second && !d.isPending(x.head.ID) {
			o := x.headOrder(OperationClose, reason)
			o.Evict = true
			d.addOrder(o)
		}
	default:
		// The head serves nothing. It joins another group before its members do;
		// one that can't, leaves.
		if (x.head.Draining || x.head.Unlisted) && !d.isPending(x.head.ID) {
			d.addOrder(x.headOrder(OperationLeave, "head leaves"))
		}
	}
}

// orphan frees the members of a group whose head does not answer: each is told to
// leave, which takes effect at once. A head that is alive and cut off stands still
// without them until it fails.
func (d *decision) releaseMembers(x *group) {
	d.reserve(x)
	for _, m := range x.members {
		if x.head != nil && m.ID == x.head.ID || d.snapshot.Lost[m.ID] || d.isPending(m.ID) {
			continue
		}
		d.addOrder(Order{
			Operation: OperationLeave, Upstream: m.ID, Group: x.key.name, Epoch: x.key.epoch, Model: x.model.Name,
			Observed: m.Group, Reason: "head lost",
		})
	}
}

// hold keeps a group's members from being used for others.
func (d *decision) reserve(x *group) {
	for _, m := range x.members {
		d.reserved[m.ID] = true
	}
}

// command returns an order to the group's head.
func (x *group) headOrder(operation Operation, reason string) Order {
	return Order{
		Operation: operation, Upstream: x.head.ID, Group: x.key.name, Epoch: x.key.epoch, Model: x.model.Name,
		Observed: x.head.Group, Reason: reason,
	}
}
