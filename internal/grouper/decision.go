package grouper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// decision is the state of one call of Decide.
type decision struct {
	*Grouper
	now      time.Time
	snapshot Snapshot
	orders   []Order  // to return from Decide
	groups   []*group // by epoch
	byKey    map[groupKey]*group
	// reserved holds the ids of upstreams that no new plan may use in this decision.
	reserved map[string]bool
}

// collectGroups collects the groups that the fleet shows.
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

// advancePlans orders the joins that each plan allows now. It deletes plans whose
// groups are complete and drops those that can no longer be completed.
func (d *decision) advancePlans() {
	for _, epoch := range slices.Sorted(maps.Keys(d.plans)) {
		p := d.plans[epoch]
		if !d.updatePlanMembers(p) {
			d.dropPlan(p)
			continue
		}
		if d.snapshot.Evacuated[p.dataCentre] {
			// The members join once the evacuation has ended.
			for _, id := range p.members {
				d.reserved[id] = true
			}
			continue
		}
		if d.now.Sub(p.startedAt) > p.model.LoadTime+_joinMargin {
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

// updatePlanMembers records which members of a plan have joined, and reports whether
// the plan can still be completed.
func (d *decision) updatePlanMembers(p *plan) bool {
	for _, id := range p.members {
		u, ok := d.snapshot.Fleet.Upstreams[id]
		if !ok || d.snapshot.Lost[id] || u.Draining {
			return false
		}
		observed := p.observed[id]
		switch {
		case u.Group.Name == p.key.name && u.Group.Epoch == p.key.epoch:
			p.accepted[id] = true
		case p.accepted[id] && u.Group.Epoch < p.key.epoch:
			// The fleet does not show the join yet.
		case u.Group.Name == "":
			// The member has left its older group.
			p.observed[id] = u.Group
		case u.Group.Name != observed.Name || u.Group.Epoch != observed.Epoch:
			// An order of another process, perhaps a late one, has put the member into a
			// group that may be open by now.
			return false
		}
	}
	return true
}

// orderJoins orders the joins that a plan allows now. A member of an older group
// joins only after that group's head has joined.
func (d *decision) orderJoins(p *plan) {
	for _, id := range p.members {
		observed := p.observed[id]
		if p.accepted[id] || d.hasPendingOrder(id) || !d.mayLeaveOldGroup(p, id, observed) {
			continue
		}
		d.addOrder(Order{
			Operation: OperationJoin, Upstream: id, Group: p.key.name, Epoch: p.key.epoch, Model: p.model.Name,
			Members: p.members, Observed: observed, Reason: "form",
		})
	}
}

// mayLeaveOldGroup reports whether a member of a plan may leave the older group that
// it was observed in: it is in none or is its head, or the fleet shows no head of
// that group, or the head has joined the plan.
func (d *decision) mayLeaveOldGroup(p *plan, id string, observed cataloguer.Membership) bool {
	if observed.Name == "" || observed.Rank == 0 {
		return true
	}
	x := d.byKey[groupKey{observed.Name, observed.Epoch}]
	if x == nil || x.head == nil {
		return true
	}
	return p.accepted[x.head.ID]
}

// hasPendingOrder reports whether an order to the upstream is unanswered, or was
// answered so recently that its effect may not show in the fleet yet.
func (d *decision) hasPendingOrder(id string) bool {
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

// addOrder adds an order to those that Decide returns and records it as sent.
func (d *decision) addOrder(o Order) {
	observed := d.snapshot.Fleet.Upstreams[o.Upstream].Group
	d.sent[o.Upstream] = sentOrder{at: d.now, operation: o.Operation, epoch: o.Epoch, observed: observed, unanswered: true}
	d.reserved[o.Upstream] = true
	d.orders = append(d.orders, o)
}

// updateGroup opens a complete group, closes a group that has lost or is about to
// lose a member, and reserves the members of a group that must stay as it is.
func (d *decision) updateGroup(x *group) {
	mayLoseMembers := d.mayLoseMembers(x)
	disbanded := (d.dropped[x.key] || mayLoseMembers) && x.head != nil && x.head.Group.State != cataloguer.MemberOpen ||
		d.dropped[x.key] && x.head == nil
	switch {
	case d.snapshot.Evacuated[x.members[0].DataCentre]:
		d.reserve(x)
	case d.plans[x.key.epoch] != nil, x.isStandby():
		// advancePlans handles a group that is being formed; a standby never opens.
	case x.isBeingRechecked():
		// The checks that are under way decide whether the group has lost members.
		d.reserve(x)
	case x.isComplete() && x.head.Unlisted:
		d.handleUnlistedHead(x)
	case disbanded:
		// The group is not open and will not be, so its members are free for other groups.
	case x.isComplete() && mayLoseMembers:
		d.closeGroup(x, false, "members may leave")
	case x.isComplete() && x.drainingCount > 0 && d.mayKeepServing(x):
		d.reserve(x)
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

// mayLoseMembers reports whether a member of a group was ordered to leave it and may
// still do so.
func (d *decision) mayLoseMembers(x *group) bool {
	if d.uncertainLeaves[x.key] {
		return true
	}
	return slices.ContainsFunc(x.members, func(m cataloguer.Upstream) bool {
		s := d.sent[m.ID]
		return s.unanswered && s.operation == OperationLeave && s.epoch == x.key.epoch
	})
}

// handleUnlistedHead closes a group whose head has been missing from the platform's
// list for _unlistedHeadGrace. Until then it reserves the group's members, since the
// head's entry may come back.
func (d *decision) handleUnlistedHead(x *group) {
	if d.conditionAge(d.now, x.key, "unlisted") < _unlistedHeadGrace {
		d.reserve(x)
		return
	}
	d.closeGroup(x, false, "head unlisted")
}

// openGroup orders the head of a group whose members are all ready to open.
func (d *decision) openGroup(x *group) {
	d.reserve(x)
	if x.head.Group.State == cataloguer.MemberOpen {
		d.opened[x.key] = true
	}
	if x.head.Group.State == cataloguer.MemberReady && d.isConfirmed(x) && !d.hasPendingOrder(x.head.ID) && !d.closedByOtherProcess(x) {
		d.addOrder(x.headOrder(OperationOpen, "complete"))
	}
}

// isConfirmed reports whether each member of a group has answered its latest check.
func (d *decision) isConfirmed(x *group) bool {
	return !slices.ContainsFunc(x.members, func(m cataloguer.Upstream) bool { return d.snapshot.Unconfirmed[m.ID] })
}

// isForming reports whether members of a group may still be about to join it or to
// become ready, by orders of this process or of another one. An incomplete group
// that this process has closed is not forming: the members that it lacks are lost.
func (d *decision) isForming(x *group) bool {
	if x.lostCount > 0 || x.drainingCount > 0 {
		return false
	}
	if x.isComplete() && d.conditionAge(d.now, x.key, "forming") < x.model.LoadTime+_joinMargin {
		return true
	}
	return !d.closed[x.key] && x.allIn(cataloguer.MemberJoining, cataloguer.MemberReady) && d.conditionAge(d.now, x.key, "forming") < x.model.WarmUpTime+_joinMargin
}

// closedByOtherProcess reports whether another process has closed the group less
// than _reopenDelay ago.
func (d *decision) closedByOtherProcess(x *group) bool {
	return d.opened[x.key] && !d.closed[x.key] && d.conditionAge(d.now, x.key, "closed by another process") < _reopenDelay
}

// closeGroup orders the head of a group to close, and reserves the group's members
// until the head has no requests left. If the head is lost or unknown, it releases
// the members instead.
func (d *decision) closeGroup(x *group, evict bool, reason string) {
	if x.head == nil || d.snapshot.Lost[x.head.ID] {
		d.releaseMembers(x)
		return
	}
	switch x.head.Group.State {
	case cataloguer.MemberOpen:
		d.reserve(x)
		if !d.hasPendingOrder(x.head.ID) {
			o := x.headOrder(OperationClose, reason)
			o.Evict = evict
			d.closed[x.key] = true
			d.addOrder(o)
		}
	case cataloguer.MemberClosing:
		d.reserve(x)
		if evict && d.conditionAge(d.now, x.key, "closing") > time.Second && !d.hasPendingOrder(x.head.ID) {
			o := x.headOrder(OperationClose, reason)
			o.Evict = true
			d.addOrder(o)
		}
	default:
		// The head serves no requests. It joins another group before its members do.
		// A head that can't join another group, because it is draining or unlisted,
		// leaves its group.
		if (x.head.Draining || x.head.Unlisted) && !d.hasPendingOrder(x.head.ID) {
			d.addOrder(x.headOrder(OperationLeave, "head leaves"))
		}
	}
}

// releaseMembers orders the members of a group whose head is lost to leave, which
// takes effect at once. A head that still runs but can't be reached makes no
// progress without its members until it fails.
func (d *decision) releaseMembers(x *group) {
	d.reserve(x)
	for _, m := range x.members {
		if x.head != nil && m.ID == x.head.ID || d.snapshot.Lost[m.ID] || d.hasPendingOrder(m.ID) {
			continue
		}
		d.addOrder(Order{
			Operation: OperationLeave, Upstream: m.ID, Group: x.key.name, Epoch: x.key.epoch, Model: x.model.Name,
			Observed: m.Group, Reason: "head lost",
		})
	}
}

// reserve keeps a group's members from being used for other groups.
func (d *decision) reserve(x *group) {
	for _, m := range x.members {
		d.reserved[m.ID] = true
	}
}

// headOrder returns an order to the group's head.
func (x *group) headOrder(operation Operation, reason string) Order {
	return Order{
		Operation: operation, Upstream: x.head.ID, Group: x.key.name, Epoch: x.key.epoch, Model: x.model.Name,
		Observed: x.head.Group, Reason: reason,
	}
}
