package grouper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Operation is what an order asks of an upstream.
type Operation string

// Operations.
const (
	OperationJoin  Operation = "join"
	OperationOpen  Operation = "open"
	OperationClose Operation = "close"
	OperationLeave Operation = "leave"
	OperationStage Operation = "stage"
)

// Order is one order to one upstream.
type Order struct {
	Operation Operation
	Upstream  string
	Group     string
	Epoch     uint64
	Model     string
	// Members are the group's upstreams, the head first.
	Members []string
	// Evict ends the requests of a group that closes; otherwise they go on to
	// their end.
	Evict bool
	// Observed is the membership that the order was decided on.
	Observed cataloguer.Membership
	// Reason is why, for the log.
	Reason string
}

// Outcome is what came of an order.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeUnknown says that no answer came: the order may be carried out, also
	// much later.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted says that the order has begun, or that the state holds.
	OutcomeAccepted
	// OutcomeRefused says that the order had no effect.
	OutcomeRefused
)

// Snapshot is what is known when a decision is made.
type Snapshot struct {
	Engine *cataloguer.Engine
	// Service is the engines' service.
	Service string
	Fleet   *cataloguer.Fleet
	// Lost are the upstreams that did not answer lately.
	Lost map[string]bool
	// Rechecking are those of them that are being asked again, since another member
	// of their group answers again.
	Rechecking map[string]bool
	// TrafficStarted says that callers' requests have begun; before that, loads do not
	// count against the rate.
	TrafficStarted bool
	// Term is the term of the lease under which orders are given; epochs of a
	// later term are higher.
	Term uint64
}

const (
	// _termShift leaves room for a million epochs in a term.
	_termShift = 20
	// _repeatAfter is the wait before an order without an answer is given again.
	_resendDelay = 700 * time.Millisecond
	// _joinMargin is what a join may take beyond its load.
	_joinMargin = 3 * time.Second
	// _droppedKept bounds the memory of dropped plans; a late join may show one
	// some time after it was dropped.
	_maxDroppedPlans = 1000
	// _refusalsBorne is how many joins of a plan may be refused before it is given
	// up: a report that lags behind refuses one that is right.
	_maxRefusedJoins = 8
	// _refusedAfter is the wait before an order that was refused is given again.
	_refusalDelay = 150 * time.Millisecond
	// _settled is how long the number of upstreams must stand still before spares
	// are staged ahead of the first request.
	_fleetSettleTime = 1500 * time.Millisecond
	// _reopenAfter is the wait before a group that another process has closed is
	// opened again: that process may be about to use its members.
	_reopenDelay = 3 * time.Second
	// _sightingBreak is how long a condition may go unseen before it counts anew.
	_maxConditionGap = time.Second
	// _unlistedBorne is how long a head may be missing in the platform's list
	// before its group gets another one; nobody sends it requests meanwhile.
	_unlistedHeadGrace = time.Second
	// _loadWindow is the span over which the rate of loads is kept.
	_loadWindow = 5 * time.Second
)

// Grouper decides on the groups of one service. The zero value knows nothing
// and is ready for use. It belongs to one goroutine.
type Grouper struct {
	term       uint64
	epochCount uint64
	plans      map[uint64]*plan
	// sent is when the latest order to an upstream was given, while its outcome
	// is open or it may not be given again yet.
	sent map[string]sentOrder
	// seen is when a group was seen in a condition.
	conditions map[groupCondition]observation
	// loads are the times at which loads began.
	loadStarts []time.Time
	// loading is until when an upstream loads from the weight store.
	loadingUntil map[string]time.Time
	// staging is what hosts load as spares.
	staging map[string]stagingLoad
	// grown tells when the number of upstreams of a domain last changed; the key
	// "" stands for all domains.
	domainSizes map[string]domainSize
	// opened and closed are groups that were seen open, and those that this process
	// has told to close.
	opened, closed map[groupKey]bool
	// dropped are groups whose plan was given up before they were complete.
	dropped map[groupKey]bool
}

// growth is a number of upstreams and when it last changed.
type domainSize struct {
	count     int
	changedAt time.Time
}

// staging is a spare's load.
type stagingLoad struct {
	model string
	until time.Time
}

type sentOrder struct {
	at        time.Time
	operation Operation
	epoch     uint64
	// from is the membership that the order was decided on.
	observed cataloguer.Membership
	// open says that no answer has come yet.
	unanswered bool
}

// key names one life of a group.
type groupKey struct {
	name  string
	epoch uint64
}

// seenIn is a group in a condition.
type groupCondition struct {
	group     groupKey
	condition string
}

// sighting is when a condition was first and last seen.
type observation struct {
	first, last time.Time
}

// plan is a group that is being formed.
type plan struct {
	key       groupKey
	domain    string
	model     cataloguer.Model
	members   []string
	startedAt time.Time
	accepted  map[string]bool
	// refused counts joins that were refused.
	refusedJoins int
	// from are the members' memberships when the plan was made.
	observed map[string]cataloguer.Membership
}

// group is what the fleet shows of one group.
type group struct {
	key     groupKey
	model   cataloguer.Model
	members []cataloguer.Upstream
	head    *cataloguer.Upstream
	// lost counts members that do not answer.
	lostCount int
	// doubted counts those of them whose loss is in doubt.
	recheckingCount int
	// leaving counts members that drain.
	drainingCount int
}

// standby says that it is no group but a spare that holds its model ready.
func (g *group) isStandby() bool { return isStandbyName(g.key.name) }

// whole says that every member is there, the head among them.
func (g *group) isComplete() bool {
	return g.head != nil && len(g.members) == g.model.GroupSize && g.lostCount == 0
}

// uncertain says that every member is there but for some whose loss is in doubt.
func (g *group) isBeingRechecked() bool {
	return g.head != nil && len(g.members) == g.model.GroupSize && g.lostCount > 0 && g.lostCount == g.recheckingCount
}

// all says that every member is in one of the states.
func (g *group) allIn(states ...cataloguer.MemberState) bool {
	for _, m := range g.members {
		if !slices.Contains(states, m.Group.State) {
			return false
		}
	}
	return true
}

// Decide returns the orders to give now.
func (g *Grouper) Decide(now time.Time, w Snapshot) []Order {
	g.startTerm(w)
	g.recordDomainSizes(now, w)
	d := &decision{Grouper: g, now: now, snapshot: w, reserved: make(map[string]bool)}
	d.collectGroups()
	d.advancePlans()
	for _, x := range d.groups {
		d.updateGroup(x)
	}
	d.formGroups()
	d.stageSpares()
	d.orderStandbys()
	g.prune(now, d)
	return d.orders
}

// grow notes the number of upstreams of each domain.
func (g *Grouper) recordDomainSizes(now time.Time, w Snapshot) {
	size := make(map[string]int)
	for _, u := range w.Fleet.OfService(w.Service) {
		size[""]++
		size[u.Domain]++
	}
	for domain, n := range size {
		if g.domainSizes[domain].count != n {
			g.domainSizes[domain] = domainSize{count: n, changedAt: now}
		}
	}
}

// begin starts a new term with nothing under way.
func (g *Grouper) startTerm(w Snapshot) {
	if g.term == w.Term && g.plans != nil {
		return
	}
	g.term, g.epochCount = w.Term, 0
	g.plans, g.sent = make(map[uint64]*plan), make(map[string]sentOrder)
	g.conditions, g.loadingUntil = make(map[groupCondition]observation), make(map[string]time.Time)
	g.staging, g.domainSizes = make(map[string]stagingLoad), make(map[string]domainSize)
	g.opened, g.closed = make(map[groupKey]bool), make(map[groupKey]bool)
	g.dropped = make(map[groupKey]bool)
	g.loadStarts = nil
}

// epoch returns the next epoch of the term.
func (g *Grouper) nextEpoch() uint64 {
	g.epochCount++
	return g.term<<_termShift | g.epochCount
}

// TermOf returns the term of an epoch.
func TermOf(epoch uint64) uint64 { return epoch >> _termShift }

// RecordOutcome takes the outcome of an order.
func (g *Grouper) RecordOutcome(now time.Time, o Order, outcome Outcome) {
	s, ok := g.sent[o.Upstream]
	if !ok || s.operation != o.Operation || s.epoch != o.Epoch {
		return
	}
	s.unanswered = false
	if s.at.Before(now) {
		s.at = now
	}
	if outcome == OutcomeRefused {
		s.at = now.Add(_refusalDelay - _resendDelay)
	}
	g.sent[o.Upstream] = s
	p := g.plans[o.Epoch]
	if o.Operation == OperationStage && outcome == OutcomeRefused {
		delete(g.staging, o.Upstream)
	}
	if o.Operation != OperationJoin || p == nil {
		return
	}
	switch outcome {
	case OutcomeAccepted:
		p.accepted[o.Upstream] = true
	case OutcomeRefused:
		p.refusedJoins++
		if p.refusedJoins > _maxRefusedJoins {
			g.dropPlan(p)
		}
	case OutcomeUnknown:
		// The fleet will show whether it was carried out; if not, it is repeated.
	}
}

// drop gives up a plan.
func (g *Grouper) dropPlan(p *plan) {
	delete(g.plans, p.key.epoch)
	g.dropped[p.key] = true
}

// forget drops what is over.
func (g *Grouper) prune(now time.Time, d *decision) {
	maps.DeleteFunc(g.sent, func(id string, s sentOrder) bool {
		return !s.unanswered && now.Sub(s.at) >= _resendDelay
	})
	maps.DeleteFunc(g.conditions, func(_ groupCondition, s observation) bool { return now.Sub(s.last) > _maxConditionGap })
	maps.DeleteFunc(g.opened, func(k groupKey, _ bool) bool { return d.byKey[k] == nil })
	maps.DeleteFunc(g.closed, func(k groupKey, _ bool) bool { return d.byKey[k] == nil })
	if len(g.dropped) > _maxDroppedPlans {
		maps.DeleteFunc(g.dropped, func(k groupKey, _ bool) bool { return d.byKey[k] == nil })
	}
	maps.DeleteFunc(g.staging, func(id string, s stagingLoad) bool {
		u, ok := d.snapshot.Fleet.Upstreams[id]
		return !ok || !now.Before(s.until) || slices.Contains(u.StagedModels, s.model)
	})
	maps.DeleteFunc(g.loadingUntil, func(id string, until time.Time) bool {
		u, ok := d.snapshot.Fleet.Upstreams[id]
		return !ok || !now.Before(until) || len(u.StagedModels) > 0
	})
	g.loadStarts = slices.DeleteFunc(g.loadStarts, func(at time.Time) bool { return now.Sub(at) >= _loadWindow })
}

// since returns for how long a group has been seen in a condition without a
// break.
func (g *Grouper) conditionAge(now time.Time, k groupKey, condition string) time.Duration {
	c := groupCondition{k, condition}
	s, ok := g.conditions[c]
	if !ok || now.Sub(s.last) > _maxConditionGap {
		s.first = now
	}
	s.last = now
	g.conditions[c] = s
	return now.Sub(s.first)
}

func compareRanks(a, b cataloguer.Upstream) int {
	return cmp.Or(cmp.Compare(a.Group.Rank, b.Group.Rank), cmp.Compare(a.ID, b.ID))
}

// String returns the outcome's name for logs.
func (o Outcome) String() string { return [...]string{"unknown", "accepted", "refused"}[o] }
