package former

import (
	"cmp"
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
	Leaving bool
	// Answered says that it ever answered a probe; without an answer what
	// follows is empty.
	Answered bool
	// Silence is for how long probes that were sent to it have failed; 0 where
	// the newest one was answered.
	Silence time.Duration
	// Boot changes whenever the engine starts anew.
	Boot string
	// Ready, Failed, Replica and Generation are the instance's own words.
	Ready      bool
	Failed     bool
	Replica    string
	Generation uint64
	// InFlight is the work that it reports, running or queued.
	InFlight int
	// Load is how long it says that a load takes; 0 where it doesn't know.
	Load time.Duration
}

// State is all that a decision depends on.
type State struct {
	DataCentre string
	Document   validator.Document
	// Placements are the data centre's stored placements by fabric domain. They
	// are not changed.
	Placements map[string]*wire.Placement
	Instances  map[string]Instance
}

// Event says what an Action does.
type Event string

// Events of a decision.
const (
	EventForm    Event = "form"
	EventRepair  Event = "repair"
	EventServe   Event = "serve"
	EventDrain   Event = "drain"
	EventRemove  Event = "remove"
	EventHold    Event = "hold"
	EventCatchUp Event = "catch-up"
)

// Action is one change, for the decision log. An EventHold changes nothing: it
// says once why a broken replica is kept as it is.
type Action struct {
	Event      Event
	Replica    string
	Group      string
	Domain     string
	Generation uint64
	Members    []string
	Reason     string
}

// Plan is the outcome of a decision: the placements to write, by domain. Each
// stands alone, so that a part of them may be written.
type Plan struct {
	Placements map[string]*wire.Placement
	Actions    []Action
	// Broken holds the replicas that a member is missing from. Their orders must
	// not be repeated: a member that lost its load can't join the others again
	// under the same generation.
	Broken map[string]bool
}

// Former decides. Set DeadAfter before use. It is not safe for concurrent use.
type Former struct {
	// DeadAfter is how long an instance may be silent before it counts as dead.
	DeadAfter time.Duration

	history history
}

// work is one decision in progress.
type work struct {
	former *Former
	state  State
	now    time.Time
	plan   Plan
	next   map[string]*wire.Placement
}

// Decide returns the changes that the state calls for at the time given, which
// must not be earlier than that of the call before.
func (f *Former) Decide(s State, now time.Time) Plan {
	w := &work{former: f, state: s, now: now, next: make(map[string]*wire.Placement)}
	w.plan = Plan{Placements: make(map[string]*wire.Placement), Broken: make(map[string]bool)}
	for _, i := range s.Instances {
		w.domain(i.Domain)
	}
	for d := range s.Placements {
		w.domain(d)
	}
	f.observe(s, now)
	w.catchUp()
	w.tidy()
	groups := w.groups()
	for _, g := range groups {
		w.mend(g)
		w.size(g, s.Document.Groups[g])
	}
	w.spread(groups)
	for _, x := range w.all() {
		if w.fault(x) != "" {
			w.plan.Broken[x.replica.GetName()] = true
		}
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

// groups returns the data centre's groups, the most valuable load first: by
// priority, and at the same priority those without a working replica first, then
// the ones with the largest replicas, for which room is the hardest to find.
func (w *work) groups() []string {
	var names []string
	down := make(map[string]int)
	for n, g := range w.state.Document.Groups {
		if g.DataCentre != w.state.DataCentre {
			continue
		}
		names = append(names, n)
		if len(w.census(n, g).serving) == 0 {
			down[n] = 1
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := w.state.Document.Groups[a], w.state.Document.Groups[b]
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(down[b], down[a]), cmp.Compare(y.Members, x.Members), cmp.Compare(a, b))
	})
	return names
}

// tidy removes replicas whose draining is over, drains those of groups that are
// not configured here, and notes the ones that became ready.
func (w *work) tidy() {
	for _, x := range w.all() {
		g, ok := w.state.Document.Groups[x.replica.GetGroup()]
		configured := ok && g.DataCentre == w.state.DataCentre
		switch {
		case draining(x.replica):
			if why := w.drained(x); why != "" {
				w.remove(x, why)
			}
		case !configured:
			w.drain(x, "group is not configured here")
		case x.replica.GetState() == wire.ReplicaState_REPLICA_STATE_FORMING && w.ready(x.replica):
			x.replica.State = wire.ReplicaState_REPLICA_STATE_SERVING
			w.change(x, EventServe, "all members are ready")
		}
	}
}

// ready says that every member reports the replica's generation as ready.
func (w *work) ready(r *wire.Replica) bool {
	for _, m := range r.GetMembers() {
		i := w.state.Instances[m]
		if !i.Ready || i.Replica != r.GetName() || i.Generation != r.GetGeneration() {
			return false
		}
	}
	return true
}

// matches says that a replica is what its group declares.
func matches(r *wire.Replica, g validator.Group) bool {
	return g.Model == r.GetModel() && g.Version == r.GetVersion() &&
		g.Members == len(r.GetMembers()) && g.SlotCount() == int(r.GetSlots())
}

func draining(r *wire.Replica) bool {
	return r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING
}
