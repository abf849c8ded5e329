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
	now    time.Time
	world  World
	orders []Order
	groups []*group
	byKey  map[key]*group
	// taken are upstreams that this decision has already used.
	taken map[string]bool
}

// survey sorts the fleet into groups.
func (d *decision) survey() {
	d.byKey = make(map[key]*group)
	for _, u := range d.world.Fleet.OfService(d.world.Service) {
		if u.Group.Name == "" {
			continue
		}
		k := key{u.Group.Name, u.Group.Epoch}
		x := d.byKey[k]
		if x == nil {
			m, _ := d.world.Engine.Model(u.Group.Model)
			x = &group{key: k, model: m}
			d.byKey[k] = x
			d.groups = append(d.groups, x)
		}
		x.members = append(x.members, u)
		if d.world.Lost[u.ID] {
			x.lost++
		}
		if d.world.Doubted[u.ID] {
			x.doubted++
		}
		if u.Draining {
			x.leaving++
		}
	}
	for _, x := range d.groups {
		slices.SortFunc(x.members, byRank)
		if x.members[0].Group.Rank == 0 {
			x.head = &x.members[0]
		}
	}
	slices.SortFunc(d.groups, func(a, b *group) int { return cmp.Compare(a.key.epoch, b.key.epoch) })
}

// progress gives the joins of the plans that are under way, and drops plans that
// can't be carried out any more or are done.
func (d *decision) progress() {
	for _, epoch := range slices.Sorted(maps.Keys(d.plans)) {
		p := d.plans[epoch]
		for _, id := range p.members {
			u, ok := d.world.Fleet.Upstreams[id]
			if !ok || d.world.Lost[id] || u.Draining {
				d.drop(p)
				break
			}
			joined := u.Group.Name == p.key.name && u.Group.Epoch == epoch
			if joined {
				p.accepted[id] = true
			}
			if !joined && u.Group.Epoch > epoch {
				// Another process has taken it.
				d.drop(p)
				break
			}
		}
		if d.plans[epoch] == nil || d.now.Sub(p.begun) > p.model.LoadTime+_joinMargin {
			d.drop(p)
			continue
		}
		if x := d.byKey[p.key]; x != nil && x.whole() && x.all(cataloguer.MemberReady, cataloguer.MemberOpen) {
			delete(d.plans, epoch)
			continue
		}
		for _, id := range p.members {
			d.taken[id] = true
		}
		d.join(p)
	}
}

// join gives the joins of a plan that may be given now: a member of an older
// group joins only after that group's head has.
func (d *decision) join(p *plan) {
	for _, id := range p.members {
		from := p.from[id]
		if p.accepted[id] || d.waits(id) || !d.headLeft(p, id, from) {
			continue
		}
		d.order(Order{
			Operation: OperationJoin, Upstream: id, Group: p.key.name, Epoch: p.key.epoch, Model: p.model.Name,
			Members: p.members, From: from, Reason: "form",
		})
	}
}

// headLeft says that the head of a member's older group has joined the plan, or
// is known to be in another group.
func (d *decision) headLeft(p *plan, id string, from cataloguer.Membership) bool {
	if from.Name == "" || from.Rank == 0 {
		return true
	}
	x := d.byKey[key{from.Name, from.Epoch}]
	if x == nil || x.head == nil {
		return true
	}
	return p.accepted[x.head.ID]
}

// waits says that an order to the upstream is under way, or was given so
// recently that its effect may not show yet.
func (d *decision) waits(id string) bool {
	s, ok := d.sent[id]
	switch {
	case !ok:
		return false
	case s.open:
		return true
	default:
		return d.now.Sub(s.at) < _repeatAfter && d.world.Fleet.Upstreams[id].Group == s.from
	}
}

func (d *decision) order(o Order) {
	from := d.world.Fleet.Upstreams[o.Upstream].Group
	d.sent[o.Upstream] = sent{at: d.now, operation: o.Operation, epoch: o.Epoch, from: from, open: true}
	d.taken[o.Upstream] = true
	d.orders = append(d.orders, o)
}

// tend opens a complete group, and closes or frees one that lost a member.
func (d *decision) tend(x *group) {
	dropped := d.dropped[x.key] && x.head != nil && x.head.Group.State != cataloguer.MemberOpen
	switch {
	case d.plans[x.key.epoch] != nil, x.standby():
		// It is being formed, or never opens.
	case x.uncertain():
		// The answers to the checks decide.
		d.hold(x)
	case x.whole() && x.head.Unlisted:
		d.tendUnlisted(x)
	case dropped:
		// Its members are free; nothing was opened.
	case x.whole() && x.leaving > 0:
		d.close(x, false, "member leaves")
	case x.whole() && x.all(cataloguer.MemberReady, cataloguer.MemberOpen):
		d.tendComplete(x)
	case d.forming(x):
		d.hold(x)
	default:
		d.close(x, true, "member lost")
	}
}

// tendUnlisted keeps a group whose head's entry has gone for a while, since it may
// come back; nobody sends it requests meanwhile.
func (d *decision) tendUnlisted(x *group) {
	if d.since(d.now, x.key, "unlisted") < _unlistedBorne {
		d.hold(x)
		return
	}
	d.close(x, false, "head unlisted")
}

// tendComplete opens a group whose members are all ready.
func (d *decision) tendComplete(x *group) {
	d.hold(x)
	if x.head.Group.State == cataloguer.MemberOpen {
		d.opened[x.key] = true
	}
	if x.head.Group.State == cataloguer.MemberReady && !d.waits(x.head.ID) && !d.closedByAnother(x) {
		d.order(x.command(OperationOpen, "complete"))
	}
}

// forming says that members of a group are still on their way, by this process's
// orders or by those of another. One that this process has closed has lost those that it lacks.
func (d *decision) forming(x *group) bool {
	if x.lost > 0 || x.leaving > 0 {
		return false
	}
	if x.whole() && d.since(d.now, x.key, "forming") < x.model.LoadTime+_joinMargin {
		return true
	}
	return !d.closed[x.key] && x.all(cataloguer.MemberJoining, cataloguer.MemberReady) && d.since(d.now, x.key, "forming") < x.model.WarmUpTime+_joinMargin
}

// closedByAnother says that another process has closed a group a moment ago.
func (d *decision) closedByAnother(x *group) bool {
	return d.opened[x.key] && !d.closed[x.key] && d.since(d.now, x.key, "closed by another") < _reopenAfter
}

// close ends the service of a group and keeps its members until its head serves
// no more.
func (d *decision) close(x *group, evict bool, reason string) {
	if x.head == nil || d.world.Lost[x.head.ID] {
		d.orphan(x)
		return
	}
	switch x.head.Group.State {
	case cataloguer.MemberOpen:
		d.hold(x)
		if !d.waits(x.head.ID) {
			o := x.command(OperationClose, reason)
			o.Evict = evict
			d.closed[x.key] = true
			d.order(o)
		}
	case cataloguer.MemberClosing:
		d.hold(x)
		if evict && d.since(d.now, x.key, "closing") > time.Second && !d.waits(x.head.ID) {
			o := x.command(OperationClose, reason)
			o.Evict = true
			d.order(o)
		}
	default:
		// The head serves nothing. It joins another group before its members do;
		// one that can't, leaves.
		if (x.head.Draining || x.head.Unlisted) && !d.waits(x.head.ID) {
			d.order(x.command(OperationLeave, "head leaves"))
		}
	}
}

// orphan frees the members of a group whose head does not answer: each is told to
// leave, which takes effect at once. A head that is alive and cut off stands still
// without them until it fails.
func (d *decision) orphan(x *group) {
	d.hold(x)
	for _, m := range x.members {
		if x.head != nil && m.ID == x.head.ID || d.world.Lost[m.ID] || d.waits(m.ID) {
			continue
		}
		d.order(Order{
			Operation: OperationLeave, Upstream: m.ID, Group: x.key.name, Epoch: x.key.epoch, Model: x.model.Name,
			From: m.Group, Reason: "head lost",
		})
	}
}

// hold keeps a group's members from being used for others.
func (d *decision) hold(x *group) {
	for _, m := range x.members {
		d.taken[m.ID] = true
	}
}

// command returns an order to the group's head.
func (x *group) command(operation Operation, reason string) Order {
	return Order{
		Operation: operation, Upstream: x.head.ID, Group: x.key.name, Epoch: x.key.epoch, Model: x.model.Name,
		From: x.head.Group, Reason: reason,
	}
}
