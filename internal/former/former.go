package former

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Instance is an instance that can be placed, with what is known of it.
type Instance struct {
	Name    string
	Address string
	Domain  string
	// Alive says that it answered a probe lately.
	Alive   bool
	Leaving bool
	// LastSeen is when it last answered; zero for never.
	LastSeen time.Time
	// Ready, Failed, Replica and Generation are the instance's own words.
	Ready      bool
	Failed     bool
	Replica    string
	Generation uint64
	InFlight   int
}

// State is all that a decision depends on.
type State struct {
	DataCentre string
	Document   validator.Document
	// Placements are the data centre's placements by fabric domain.
	Placements map[string]*wire.Placement
	Instances  map[string]Instance
}

// Action is one change, for the decision log.
type Action struct {
	Event      string // form, repair, serve, drain, remove
	Replica    string
	Group      string
	Domain     string
	Generation uint64
	Members    []string
	Reason     string
}

// Plan is the outcome of a decision: the placements to write, by domain.
type Plan struct {
	Placements map[string]*wire.Placement
	Actions    []Action
}

// Former decides. Set the fields before use.
type Former struct {
	// DeadAfter is how long an instance may be silent before it counts as dead.
	DeadAfter time.Duration
}

// work is one decision in progress.
type work struct {
	former Former
	state  State
	now    time.Time
	plan   Plan
	next   map[string]*wire.Placement
}

// Decide returns the changes that the state calls for at the time given.
func (f Former) Decide(s State, now time.Time) Plan {
	w := &work{former: f, state: s, now: now, plan: Plan{Placements: map[string]*wire.Placement{}}, next: map[string]*wire.Placement{}}
	for _, i := range s.Instances {
		w.domain(i.Domain)
	}
	for d := range s.Placements {
		w.domain(d)
	}
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		w.review(d)
	}
	for _, g := range w.groups() {
		w.size(g, s.Document.Groups[g])
	}
	return w.plan
}

// domain copies a domain's placement, so that the decision can change it.
func (w *work) domain(name string) {
	if _, ok := w.next[name]; ok {
		return
	}
	p := &wire.Placement{DataCentre: w.state.DataCentre, Domain: name}
	if old, ok := w.state.Placements[name]; ok {
		p = proto.Clone(old).(*wire.Placement)
	}
	w.next[name] = p
}

// groups returns the data centre's groups, the most important first.
func (w *work) groups() []string {
	var names []string
	for n, g := range w.state.Document.Groups {
		if g.DataCentre == w.state.DataCentre {
			names = append(names, n)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := w.state.Document.Groups[a], w.state.Document.Groups[b]
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(a, b))
	})
	return names
}

// change notes that a domain's placement must be written.
func (w *work) change(domain string, r *wire.Replica, event, reason string) {
	w.plan.Placements[domain] = w.next[domain]
	w.plan.Actions = append(w.plan.Actions, Action{
		Event: event, Replica: r.GetName(), Group: r.GetGroup(), Domain: domain,
		Generation: r.GetGeneration(), Members: r.GetMembers(), Reason: reason,
	})
}

// review looks at each replica of a domain.
func (w *work) review(domain string) {
	p := w.next[domain]
	for _, r := range slices.Clone(p.GetReplicas()) {
		g, ok := w.state.Document.Groups[r.GetGroup()]
		switch {
		case r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING:
			if w.idle(r) {
				w.remove(domain, r, "drained")
			}
		case !ok || g.DataCentre != w.state.DataCentre:
			w.drain(domain, r, "group is not configured here")
		case g.Model != r.GetModel() || g.Version != r.GetVersion() || g.Members != len(r.GetMembers()) || g.SlotCount() != int(r.GetSlots()):
			w.drain(domain, r, "group was changed")
		default:
			w.mend(domain, r)
		}
	}
}

// mend replaces missing members by spares, or gives the replica up.
func (w *work) mend(domain string, r *wire.Replica) {
	missing := ""
	for _, m := range r.GetMembers() {
		if why := w.unfit(m, r); why != "" {
			missing = m + " " + why
			break
		}
	}
	if missing == "" {
		w.settle(domain, r)
		return
	}
	spares := w.spares(domain)
	members := make([]string, 0, len(r.GetMembers()))
	for _, m := range r.GetMembers() {
		if w.missing(m) == "" {
			members = append(members, m)
		}
	}
	need := len(r.GetMembers()) - len(members)
	if need > len(spares) {
		w.remove(domain, r, missing+", no spare")
		return
	}
	r.Members = append(members, spares[:need]...)
	w.issue(domain, r)
	w.change(domain, r, "repair", missing)
}

// settle notes that all members are ready.
func (w *work) settle(domain string, r *wire.Replica) {
	if r.GetState() != wire.ReplicaState_REPLICA_STATE_FORMING {
		return
	}
	for _, m := range r.GetMembers() {
		i := w.state.Instances[m]
		if !i.Ready || i.Replica != r.GetName() || i.Generation != r.GetGeneration() {
			return
		}
	}
	r.State = wire.ReplicaState_REPLICA_STATE_SERVING
	w.change(domain, r, "serve", "all members are ready")
}

// missing says why an instance can't be a member, empty where it can.
func (w *work) missing(name string) string {
	i, ok := w.state.Instances[name]
	switch {
	case !ok:
		return "is not listed"
	case i.Leaving:
		return "is leaving"
	case w.now.Sub(i.LastSeen) > w.former.DeadAfter:
		return "is silent"
	default:
		return ""
	}
}

// unfit says why a member needs a new generation, empty where it doesn't.
func (w *work) unfit(name string, r *wire.Replica) string {
	if why := w.missing(name); why != "" {
		return why
	}
	i := w.state.Instances[name]
	serving := r.GetState() == wire.ReplicaState_REPLICA_STATE_SERVING
	switch {
	case i.Generation == r.GetGeneration() && i.Failed:
		return "failed"
	case serving && i.Generation != r.GetGeneration():
		return "lost its order"
	default:
		return ""
	}
}

// idle says that no member works for the replica any more.
func (w *work) idle(r *wire.Replica) bool {
	i, ok := w.state.Instances[r.GetMembers()[0]]
	return !ok || w.missing(i.Name) != "" || i.Replica != r.GetName() || i.InFlight == 0
}

// spares returns a domain's instances that are in no replica, in order.
func (w *work) spares(domain string) []string {
	taken := make(map[string]bool)
	for _, r := range w.next[domain].GetReplicas() {
		for _, m := range r.GetMembers() {
			taken[m] = true
		}
	}
	var out []string
	for n, i := range w.state.Instances {
		if i.Domain == domain && !taken[n] && w.missing(n) == "" {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// issue gives the replica a new generation, to be loaded anew.
func (w *work) issue(domain string, r *wire.Replica) {
	p := w.next[domain]
	p.Generation++
	r.Generation = p.GetGeneration()
	r.State = wire.ReplicaState_REPLICA_STATE_FORMING
	r.Addresses = r.Addresses[:0]
	for _, m := range r.GetMembers() {
		r.Addresses = append(r.Addresses, w.state.Instances[m].Address)
	}
}

func (w *work) drain(domain string, r *wire.Replica, reason string) {
	r.State = wire.ReplicaState_REPLICA_STATE_DRAINING
	w.change(domain, r, "drain", reason)
}

func (w *work) remove(domain string, r *wire.Replica, reason string) {
	p := w.next[domain]
	p.Replicas = slices.DeleteFunc(p.GetReplicas(), func(x *wire.Replica) bool { return x.GetName() == r.GetName() })
	// The release orders carry this number, which is newer than the load's.
	p.Generation++
	w.change(domain, r, "remove", reason)
}

// size grows or shrinks a group to its declared replicas.
func (w *work) size(name string, g validator.Group) {
	have := w.replicas(name)
	for len(have) < g.Replicas {
		if !w.form(name, g) {
			return
		}
		have = w.replicas(name)
	}
	for _, x := range have[min(len(have), g.Replicas):] {
		w.drain(x.domain, x.replica, "more replicas than declared")
	}
}

// located is a replica with its domain.
type located struct {
	domain  string
	replica *wire.Replica
}

// replicas returns a group's replicas that are not draining, the ones to keep
// first.
func (w *work) replicas(group string) []located {
	var out []located
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		for _, r := range w.next[d].GetReplicas() {
			if r.GetGroup() == group && r.GetState() != wire.ReplicaState_REPLICA_STATE_DRAINING {
				out = append(out, located{d, r})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b located) int { return cmp.Compare(b.replica.GetState(), a.replica.GetState()) })
	return out
}

// form makes one more replica where there is room: in the domain with the
// fewest replicas of the group, then the one with the fewest spares.
func (w *work) form(name string, g validator.Group) bool {
	best, fewest := "", [2]int{}
	for _, d := range slices.Sorted(maps.Keys(w.next)) {
		spares := len(w.spares(d))
		if spares < g.Members {
			continue
		}
		score := [2]int{w.count(d, name), spares}
		if best == "" || score[0] < fewest[0] || score[0] == fewest[0] && score[1] < fewest[1] {
			best, fewest = d, score
		}
	}
	if best == "" {
		return false
	}
	p := w.next[best]
	r := &wire.Replica{
		Name: fmt.Sprintf("%s/%s/%d", name, best, p.GetGeneration()+1), Group: name, Model: g.Model, Version: g.Version,
		Members: w.spares(best)[:g.Members], Slots: uint32(g.SlotCount()),
	}
	w.issue(best, r)
	p.Replicas = append(p.Replicas, r)
	w.change(best, r, "form", "fewer replicas than declared")
	return true
}

func (w *work) count(domain, group string) int {
	n := 0
	for _, r := range w.next[domain].GetReplicas() {
		if r.GetGroup() == group {
			n++
		}
	}
	return n
}
