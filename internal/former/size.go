package former

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _darkAfter is how long a whole fabric domain must be silent before its
// replicas are formed elsewhere; a switch that restarts takes less.
const _darkAfter = 5 * time.Second

// census is what a group has, without what drains.
type census struct {
	// serving, forming and broken are what the group declares.
	serving, forming, broken []located
	// dark counts the broken ones whose domain may come back at any moment.
	dark int
	// old and oldBroken are of an earlier declaration, also oldForming, which
	// doesn't serve yet.
	old, oldForming, oldBroken []located
}

// census counts the group's replicas.
func (w *work) census(name string, g validator.Group) census {
	var c census
	for _, x := range w.all() {
		if x.replica.GetGroup() != name || draining(x.replica) {
			continue
		}
		current, whole := matches(x.replica, g), w.fault(x) == ""
		serving := x.replica.GetState() == wire.ReplicaState_REPLICA_STATE_SERVING
		switch {
		case current && whole && serving:
			c.serving = append(c.serving, x)
		case current && whole:
			c.forming = append(c.forming, x)
		case current:
			c.broken = append(c.broken, x)
			if w.maybeBack(x) {
				c.dark++
			}
		case whole && serving:
			c.old = append(c.old, x)
		case whole:
			c.oldForming = append(c.oldForming, x)
		default:
			c.oldBroken = append(c.oldBroken, x)
		}
	}
	return c
}

// surveyed says that something is known of every instance, so that one which
// did not answer yet isn't taken for missing room.
func (w *work) surveyed() bool {
	for _, i := range w.state.Instances {
		if !i.Answered && i.Silence < w.former.DeadAfter {
			return false
		}
	}
	return true
}

// brokenFor returns for how long a replica has been broken.
func (w *work) brokenFor(x located) time.Duration {
	l := w.life(x.replica)
	if l.brokenSince.IsZero() {
		return 0
	}
	return w.now.Sub(l.brokenSince)
}

// maybeBack says that the replica's whole domain fell silent only now: a probe of
// every instance there failed.
func (w *work) maybeBack(x located) bool {
	if w.brokenFor(x) >= _darkAfter {
		return false
	}
	for _, i := range w.state.Instances {
		if i.Domain == x.domain && i.Silence == 0 {
			return false
		}
	}
	return true
}

// size brings a group to its declared replicas and version. Replicas of an
// earlier declaration serve until others take their place.
func (w *work) size(name string, g validator.Group) {
	c := w.census(name, g)
	for _, x := range c.oldBroken {
		w.remove(x, "group was changed, "+w.fault(x))
	}
	for _, x := range c.oldForming {
		w.drain(x, "group was changed")
	}
	w.shrink(name, g)
	for {
		c := w.census(name, g)
		missing := g.Replicas - len(c.serving) - len(c.forming) - c.dark
		whole := len(c.serving) + len(c.forming) + len(c.old)
		if missing <= 0 || !w.surveyed() || len(c.old) > 0 && whole >= g.Replicas+w.state.Document.Policy.LoadLimit() || !w.mayLoad() {
			return
		}
		best, ok := w.choose(name, g)
		if !ok {
			w.makeRoom(name, g, c)
			return
		}
		w.form(name, g, best, "fewer replicas than declared")
	}
}

// shrink gives up what the group has too much of: what serves the least first.
func (w *work) shrink(name string, g validator.Group) {
	c := w.census(name, g)
	reason := "more replicas than declared"
	if len(c.serving) >= g.Replicas {
		for _, x := range c.broken {
			w.remove(x, reason+", "+w.fault(x))
		}
		for _, x := range c.forming {
			if !w.spreads(x) {
				w.drain(x, reason)
			}
		}
		for _, x := range c.old {
			w.drain(x, "group was changed")
		}
		w.drainSome(c.serving, len(c.serving)-g.Replicas, reason, w.crowded)
		return
	}
	w.drainSome(c.old, len(c.serving)+len(c.old)-g.Replicas, "group was changed", w.lonely)
	w.drainSome(c.forming, len(c.serving)+len(c.forming)-g.Replicas, reason, w.crowded)
}

// drainSome drains count replicas, each time the one that compares highest.
func (w *work) drainSome(from []located, count int, reason string, compare func(a, b located) int) {
	for range min(count, len(from)) {
		best := slices.MaxFunc(from, compare)
		from = slices.DeleteFunc(slices.Clone(from), func(x located) bool { return x.replica == best.replica })
		w.drain(best, reason)
	}
}

// crowded orders replicas by how many copies of the model their domain has, then
// by age: of the surplus, a young one goes whose domain has others.
func (w *work) crowded(a, b located) int {
	return cmp.Or(
		cmp.Compare(w.copies(a.domain, a.replica.GetModel()), w.copies(b.domain, b.replica.GetModel())),
		w.life(a.replica).since.Compare(w.life(b.replica).since),
	)
}

// lonely orders replicas by how few copies of the model their domain has: of an
// earlier declaration, one goes where its successor is wanted.
func (w *work) lonely(a, b located) int {
	return cmp.Compare(w.copies(b.domain, b.replica.GetModel()), w.copies(a.domain, a.replica.GetModel()))
}

// copies counts the model's replicas in a domain that can serve and are as their
// group declares them.
func (w *work) copies(domain, model string) int {
	n := 0
	for _, r := range w.next[domain].GetReplicas() {
		if r.GetModel() == model && !draining(r) && matches(r, w.state.Document.Groups[r.GetGroup()]) && w.fault(located{domain, r}) == "" {
			n++
		}
	}
	return n
}

// choice is where a replica could be formed.
type choice struct {
	domain  string
	members []string
	donors  []located
}

// choose returns the best place for one more replica: the domain with the fewest
// copies of the model, so that no domain takes them all with it, then where the
// fewest spares are left over, so that room for whole replicas stays.
func (w *work) choose(name string, g validator.Group) (choice, bool) {
	var best choice
	fewest := [3]int{}
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		spares, donors := w.room(located{d, &wire.Replica{}}, g.Members, func(x located) bool {
			other := w.state.Document.Groups[x.replica.GetGroup()].Priority
			return w.brokenFor(x) >= _donateAfter && (x.replica.GetGroup() == name || other < g.Priority)
		})
		if len(spares) < g.Members {
			continue
		}
		score := [3]int{w.copies(d, g.Model), len(donors), len(spares)}
		if best.members == nil || slices.Compare(score[:], fewest[:]) < 0 {
			best, fewest = choice{d, slices.Clone(spares[:g.Members]), donors}, score
		}
	}
	return best, best.members != nil
}

// form makes one replica where it was chosen.
func (w *work) form(name string, g validator.Group, c choice, reason string) {
	for _, x := range c.donors {
		w.remove(x, "its members form a replica of "+name)
	}
	p := w.next[c.domain]
	x := located{c.domain, &wire.Replica{
		Name: fmt.Sprintf("%s/%s/%d", name, c.domain, p.GetGeneration()+1), Group: name, Model: g.Model, Version: g.Version,
		Members: c.members, Slots: uint32(g.SlotCount()),
	}}
	w.issue(x)
	p.Replicas = append(p.Replicas, x.replica)
	w.change(x, EventForm, reason)
}

// makeRoom drains replicas so that one of the group can be formed later: old
// ones of the group, or those of groups with a lower priority. It drains
// nothing while enough instances are on their way.
func (w *work) makeRoom(name string, g validator.Group, c census) {
	if len(c.old) > 0 {
		if len(c.forming) == 0 {
			w.clear(g, "group was changed", func(r *wire.Replica) bool { return r.GetGroup() == name && !matches(r, g) })
		}
		return
	}
	// A member that was lost only now may come back.
	if slices.ContainsFunc(c.broken, func(x located) bool { return w.brokenFor(x) < _donateAfter }) {
		return
	}
	w.clear(g, fmt.Sprintf("group %s has a higher priority", name), func(r *wire.Replica) bool {
		other, ok := w.state.Document.Groups[r.GetGroup()]
		return ok && other.Priority < g.Priority
	})
}

// clear drains the victims of the domain that needs the fewest of them to make
// room for one replica.
func (w *work) clear(g validator.Group, reason string, may func(r *wire.Replica) bool) {
	var best []located
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		victims, ok := w.victims(d, g.Members, may)
		if ok && len(victims) == 0 {
			return
		}
		if ok && (best == nil || len(victims) < len(best) || len(victims) == len(best) && w.copies(d, g.Model) < w.copies(best[0].domain, g.Model)) {
			best = victims
		}
	}
	for _, x := range best {
		w.drain(x, reason)
	}
}

// victims returns the replicas of a domain, of the lowest priority first, that
// must be drained until need instances are free, and whether that is enough.
func (w *work) victims(domain string, need int, may func(r *wire.Replica) bool) ([]located, bool) {
	free := len(w.spares(domain))
	var candidates, out []located
	for _, r := range w.next[domain].GetReplicas() {
		switch {
		case draining(r):
			free += w.useful(domain, r)
		case may(r):
			candidates = append(candidates, located{domain, r})
		}
	}
	slices.SortStableFunc(candidates, func(a, b located) int {
		x, y := w.state.Document.Groups[a.replica.GetGroup()], w.state.Document.Groups[b.replica.GetGroup()]
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(len(a.replica.GetMembers()), len(b.replica.GetMembers())))
	})
	for _, x := range candidates {
		if free >= need {
			break
		}
		free += w.useful(domain, x.replica)
		out = append(out, x)
	}
	return out, free >= need
}

// useful counts the members that could serve another replica.
func (w *work) useful(domain string, r *wire.Replica) int {
	n := 0
	for _, m := range r.GetMembers() {
		if w.usable(w.state.Instances[m], domain) {
			n++
		}
	}
	return n
}
