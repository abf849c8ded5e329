package former

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _donateAfter is how long a replica must be broken before its members may
	// serve another one; until then a lost member may come back with its load.
	_donateAfter = 10 * time.Second
	// _urgentAfter is the same for a group that has no replica left.
	_urgentAfter = 3 * time.Second
	// _confirmAfter is how long a replica must have failed, with all of its
	// members answering, before it is loaded again with the same ones. A leader
	// reports that it failed before probes of the member that died do.
	_confirmAfter = time.Second
	// _loadFactor times what the members say that a load takes is how long it
	// may take.
	_loadFactor = 3
	// _minLoadLimit and _unknownLoadLimit bound a load of members that name a
	// short time or none.
	_minLoadLimit     = time.Minute
	_unknownLoadLimit = 15 * time.Minute
)

// fault says why a replica can't serve, empty where it can or is about to. A
// member that is gone is the cause where others failed too.
func (w *work) fault(x located) string {
	for _, m := range x.replica.GetMembers() {
		if why := w.gone(m, x.domain); why != "" {
			return m + " " + why
		}
	}
	for _, m := range x.replica.GetMembers() {
		if why := w.unfit(x, m); why != "" {
			return m + " " + why
		}
	}
	return ""
}

// unfit says why a member needs a new generation, empty where it doesn't.
func (w *work) unfit(x located, name string) string {
	if why := w.gone(name, x.domain); why != "" {
		return why
	}
	r, l, i := x.replica, w.life(x.replica), w.state.Instances[name]
	boot, obeyed := l.boots[name]
	switch {
	case !i.Answered:
		return ""
	case i.Generation == r.GetGeneration() && i.Failed:
		return "failed"
	case l.obeyed(i, r) && (i.Generation != r.GetGeneration() || i.Replica != r.GetName()):
		return "lost its order"
	case obeyed && boot != i.Boot:
		return "restarted"
	case !i.Ready && w.overdue(r):
		return "takes too long to load"
	default:
		return ""
	}
}

// overdue says that a replica has been loading for longer than a load takes.
func (w *work) overdue(r *wire.Replica) bool {
	if r.GetState() != wire.ReplicaState_REPLICA_STATE_FORMING {
		return false
	}
	limit := time.Duration(0)
	for _, m := range r.GetMembers() {
		limit = max(limit, _loadFactor*w.state.Instances[m].Load)
	}
	if limit == 0 {
		limit = _unknownLoadLimit
	}
	return w.now.Sub(w.life(r).since) > max(limit, _minLoadLimit)
}

// mend repairs the group's broken replicas, and drains those that a member is
// about to leave, so that their work ends whole.
func (w *work) mend(group string) {
	for _, x := range w.all() {
		if x.replica.GetGroup() != group || draining(x.replica) {
			continue
		}
		l := w.life(x.replica)
		why := w.fault(x)
		switch {
		case why != "" && !matches(x.replica, w.state.Document.Groups[group]):
			// The replica of the new declaration takes its place.
		case why != "":
			if l.brokenSince.IsZero() {
				l.brokenSince = w.now
			}
			w.repair(x, why)
		case w.leaving(x.replica) != "":
			w.drain(x, w.leaving(x.replica)+" is leaving")
		default:
			l.brokenSince, l.held = time.Time{}, false
		}
	}
}

// leaving returns a member that leaves, empty where none does.
func (w *work) leaving(r *wire.Replica) string {
	for _, m := range r.GetMembers() {
		if w.state.Instances[m].Leaving {
			return m
		}
	}
	return ""
}

// repair loads a broken replica anew, with spares in the place of members that
// are gone, or holds it as it is.
func (w *work) repair(x located, why string) {
	w.countOverdue(x.replica)
	if w.enough(x.replica.GetGroup()) {
		w.hold(x, why+", another replica takes its place")
		return
	}
	if w.unclear(x) {
		return
	}
	keep, replace, wait := w.sort(x)
	spares, donors := w.room(x, len(replace)+len(wait), w.mayDonate(x))
	need := len(x.replica.GetMembers()) - len(keep)
	if len(spares) < need {
		// The members that only want replacing can go on where no spare is left.
		keep = append(keep, replace...)
		need = len(wait)
		spares, donors = w.room(x, need, w.mayDonate(x))
	}
	if len(spares) < need {
		w.hold(x, why+", no spare")
		return
	}
	if !w.mayLoad() {
		w.hold(x, why+", too many loads at once")
		return
	}
	for _, d := range donors {
		w.remove(d, "its members repair "+x.replica.GetName())
	}
	x.replica.Members = slices.Concat(inOrder(x.replica.GetMembers(), keep), spares[:need])
	w.issue(x)
	w.change(x, EventRepair, why)
}

// mayDonate returns which broken replicas may give their members to x.
func (w *work) mayDonate(x located) func(located) bool {
	group := x.replica.GetGroup()
	g := w.state.Document.Groups[group]
	patience := _donateAfter
	if len(w.census(group, g).serving) == 0 {
		patience = _urgentAfter
	}
	return func(d located) bool {
		return w.brokenFor(d) >= patience && w.state.Document.Groups[d.replica.GetGroup()].Priority <= g.Priority
	}
}

// unclear says that it will be known soon which members are gone.
func (w *work) unclear(x located) bool {
	gone, failed := false, false
	for _, m := range x.replica.GetMembers() {
		i := w.state.Instances[m]
		switch {
		case w.gone(m, x.domain) != "":
			gone = true
		case i.Silence > 0:
			return true
		case i.Failed && i.Generation == x.replica.GetGeneration():
			failed = true
		}
	}
	return failed && !gone && w.brokenFor(x) < _confirmAfter
}

// enough says that the group's other replicas will do without a repair.
func (w *work) enough(group string) bool {
	g := w.state.Document.Groups[group]
	c := w.census(group, g)
	return len(c.serving)+len(c.forming) >= g.Replicas
}

// sort tells a broken replica's members apart: those to keep, those that may go
// on but had better be replaced, and those that can't be members now.
func (w *work) sort(x located) (keep, replace, wait []string) {
	for _, m := range x.replica.GetMembers() {
		i := w.state.Instances[m]
		switch {
		case w.gone(m, x.domain) != "", i.Leaving, w.unfit(x, m) != "" && !w.former.trusted(m, w.now):
			wait = append(wait, m)
		case !i.Ready && w.overdue(x.replica) && w.someReady(x.replica):
			replace = append(replace, m)
		default:
			keep = append(keep, m)
		}
	}
	return keep, replace, wait
}

// someReady says that a load ended on some member, so that the fault is with the
// others and not with the model.
func (w *work) someReady(r *wire.Replica) bool {
	return slices.ContainsFunc(r.GetMembers(), func(m string) bool {
		i := w.state.Instances[m]
		return i.Ready && i.Generation == r.GetGeneration()
	})
}

// countOverdue counts a fault of each member whose load is overdue, once.
func (w *work) countOverdue(r *wire.Replica) {
	l := w.life(r)
	if l.overdue || !w.overdue(r) {
		return
	}
	l.overdue = true
	for _, m := range r.GetMembers() {
		if rec, ok := w.former.history.instances[m]; ok && !w.state.Instances[m].Ready {
			rec.fault(w.now)
		}
	}
}

// hold says once why a broken replica is kept as it is.
func (w *work) hold(x located, why string) {
	l := w.life(x.replica)
	if !l.held {
		w.note(x, EventHold, why)
	}
	l.held = true
}

// room returns the domain's spares, and where they are too few also the members
// of replicas that have been broken for long and may be given up.
func (w *work) room(x located, need int, may func(located) bool) (spares []string, donors []located) {
	spares = w.spares(x.domain)
	var broken []located
	for _, d := range w.all() {
		if d.domain == x.domain && d.replica.GetName() != x.replica.GetName() && !draining(d.replica) &&
			w.fault(d) != "" && may(d) {
			broken = append(broken, d)
		}
	}
	slices.SortStableFunc(broken, func(a, b located) int {
		return cmp.Compare(w.state.Document.Groups[a.replica.GetGroup()].Priority, w.state.Document.Groups[b.replica.GetGroup()].Priority)
	})
	for _, d := range broken {
		if len(spares) >= need {
			break
		}
		donors = append(donors, d)
		for _, m := range d.replica.GetMembers() {
			if i := w.state.Instances[m]; w.usable(i, x.domain) {
				spares = append(spares, m)
			}
		}
	}
	return spares, donors
}

// inOrder returns the kept members in the order of all.
func inOrder(all, keep []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(m string) bool { return !slices.Contains(keep, m) })
}
