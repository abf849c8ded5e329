package planner

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Instance is an instance that can be a member of a replica, and its latest
// probe result.
type Instance struct {
	Name    string
	Address string
	Domain  string
	Leaving bool
	// Answered reports whether the instance ever answered a probe. If not, the
	// fields from Boot on are empty.
	Answered bool
	// Silence is how long the probes of the instance have been failing, 0 if it
	// answered the newest one.
	Silence time.Duration
	// Boot is an ID that changes whenever the engine restarts.
	Boot string
	// Ready, Failed, Replica and Generation are reported by the instance itself:
	// the state of its load, and the order that it accepted last.
	Ready      bool
	Failed     bool
	Replica    string
	Generation uint64
	// InFlight counts the requests that the instance reports as running or queued.
	InFlight int
	// LoadTime is how long the instance expects a load to take, 0 if unknown.
	LoadTime time.Duration
}

// State is the input of a decision.
type State struct {
	DataCentre string
	Document   validator.Document
	// Placements are the data centre's stored placements by fabric domain. Decide
	// does not modify them.
	Placements map[string]*wire.Placement
	Instances  map[string]Instance
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	ActionForm    ActionKind = "form"
	ActionRepair  ActionKind = "repair"
	ActionServe   ActionKind = "serve"
	ActionDrain   ActionKind = "drain"
	ActionRemove  ActionKind = "remove"
	ActionHold    ActionKind = "hold"
	ActionCatchUp ActionKind = "catch-up"
)

// Action is one change, for the decision log. An ActionHold changes nothing: it is
// logged once, with the reason why a broken replica is not repaired yet.
type Action struct {
	Kind       ActionKind
	Replica    string
	Group      string
	Domain     string
	Generation uint64
	Members    []string
	Reason     string
}

// Plan is the outcome of a decision.
type Plan struct {
	// Placements are the placements to write, by domain. They are independent of
	// each other, so it is safe if only some of the writes succeed.
	Placements map[string]*wire.Placement
	Actions    []Action
	// Broken holds the names of the broken replicas. Their orders must not be sent
	// again: a member that lost its loaded model can't rejoin the others under the
	// same generation.
	Broken map[string]bool
}

// Planner decides about the placements of one data centre. Set DeadAfter before
// use. It is not safe for concurrent use.
type Planner struct {
	// DeadAfter is how long the probes of an instance may fail before it counts as
	// dead.
	DeadAfter time.Duration

	history history
}

// workingPlan is one decision in progress: its input, the plan so far, and, in next,
// the placements of all domains with the plan's changes.
type workingPlan struct {
	planner *Planner
	state   State
	now     time.Time
	plan    Plan
	next    map[string]*wire.Placement
}

// Decide returns the changes that the state requires at the time now, which must
// not be earlier than in the previous call.
func (pl *Planner) Decide(s State, now time.Time) Plan {
	w := &workingPlan{planner: pl, state: s, now: now, next: make(map[string]*wire.Placement)}
	w.plan = Plan{Placements: make(map[string]*wire.Placement), Broken: make(map[string]bool)}
	for _, i := range s.Instances {
		w.copyPlacement(i.Domain)
	}
	for d := range s.Placements {
		w.copyPlacement(d)
	}
	pl.observe(s, now)
	w.catchUp()
	w.updateStates()
	groups := w.sortedGroups()
	for _, g := range groups {
		w.repairGroup(g)
		w.scaleGroup(g, s.Document.Groups[g])
	}
	w.spreadCopies(groups)
	for _, x := range w.allReplicas() {
		if w.brokenReason(x) != "" {
			w.plan.Broken[x.replica.GetName()] = true
		}
	}
	return w.plan
}

// copyPlacement copies a domain's stored placement into w.next, where the
// decision can change it. A domain without one gets an empty placement.
func (w *workingPlan) copyPlacement(domain string) {
	if _, ok := w.next[domain]; ok {
		return
	}
	p := &wire.Placement{DataCentre: w.state.DataCentre, Domain: domain}
	if old, ok := w.state.Placements[domain]; ok {
		p = proto.Clone(old).(*wire.Placement)
	}
	w.next[domain] = p
}

// sortedGroups returns the data centre's groups in the order in which they get
// instances: by priority, and at the same priority those without a serving
// replica first, then those with the largest replicas, for which it is hardest
// to find free instances.
func (w *workingPlan) sortedGroups() []string {
	var names []string
	withoutServing := make(map[string]int)
	for n, g := range w.state.Document.Groups {
		if g.DataCentre != w.state.DataCentre {
			continue
		}
		names = append(names, n)
		if len(w.replicasOf(n, g).serving) == 0 {
			withoutServing[n] = 1
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := w.state.Document.Groups[a], w.state.Document.Groups[b]
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(withoutServing[b], withoutServing[a]), cmp.Compare(y.Members, x.Members), cmp.Compare(a, b))
	})
	return names
}

// updateStates removes replicas that have finished draining, drains those of groups
// that are not configured in this data centre, and marks as serving those that
// finished loading.
func (w *workingPlan) updateStates() {
	for _, x := range w.allReplicas() {
		g, ok := w.state.Document.Groups[x.replica.GetGroup()]
		configured := ok && g.DataCentre == w.state.DataCentre
		switch {
		case draining(x.replica):
			if why := w.removalReason(x); why != "" {
				w.remove(x, why)
			}
		case !configured:
			w.drain(x, "group is not configured here")
		case x.replica.GetState() == wire.ReplicaState_REPLICA_STATE_FORMING && w.ready(x.replica):
			x.replica.State = wire.ReplicaState_REPLICA_STATE_SERVING
			w.markChanged(x, ActionServe, "all members are ready")
		}
	}
}

// ready reports whether every member reports the replica's generation as ready.
func (w *workingPlan) ready(r *wire.Replica) bool {
	for _, m := range r.GetMembers() {
		i := w.state.Instances[m]
		if !i.Ready || i.Replica != r.GetName() || i.Generation != r.GetGeneration() {
			return false
		}
	}
	return true
}

// matches reports whether a replica has the model, version, members and slots that
// its group declares.
func matches(r *wire.Replica, g validator.Group) bool {
	return g.Model == r.GetModel() && g.Version == r.GetVersion() &&
		g.Members == len(r.GetMembers()) && g.SlotCount() == int(r.GetSlots())
}

func draining(r *wire.Replica) bool {
	return r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING
}
