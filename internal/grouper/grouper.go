package grouper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Operation is the operation that an order asks an upstream to carry out.
type Operation string

// Operations.
const (
	// OperationJoin makes an upstream join a group and load the group's model.
	OperationJoin Operation = "join"
	// OperationOpen makes the head of a group accept requests.
	OperationOpen Operation = "open"
	// OperationClose makes the head of a group stop accepting requests.
	OperationClose Operation = "close"
	// OperationLeave makes an upstream leave its group.
	OperationLeave Operation = "leave"
	// OperationStage makes an upstream load a model onto its host without joining a
	// group.
	OperationStage Operation = "stage"
)

// Order asks one upstream to carry out an operation.
type Order struct {
	Operation Operation
	Upstream  string
	Group     string
	Epoch     uint64
	Model     string
	// Members are the ids of the group's upstreams, the head first. They are set
	// only for a join.
	Members []string
	// Evict makes a close end the group's running requests; without it they run
	// to completion.
	Evict bool
	// Observed is the upstream's membership on which the order was decided.
	Observed cataloguer.Membership
	// Reason is why the order is given, for the log.
	Reason string
}

// Snapshot is the state on which one decision is made.
type Snapshot struct {
	Engine *cataloguer.Engine
	// Service is the name of the service whose groups are decided on.
	Service string
	Fleet   *cataloguer.Fleet
	// Lost holds the ids of the upstreams that failed their latest checks.
	Lost map[string]bool
	// Rechecking holds the ids of the lost upstreams that are being checked again,
	// because another member of their group answers again.
	Rechecking map[string]bool
	// Unconfirmed holds the ids of the upstreams that have not answered their latest check, or
	// none yet: the platform's list alone says that they are there. No group opens with one.
	Unconfirmed map[string]bool
	// Evacuated holds the evacuated data centres. Their upstreams get no orders and keep
	// their groups.
	Evacuated map[string]bool
	// TrafficStarted is true once callers have sent requests. Loads that begin
	// before that do not count towards the rate of loads.
	TrafficStarted bool
	// Term is the term of the lease under which orders are given. Epochs of a
	// later term are higher than all those of earlier terms.
	Term uint64
}

const (
	// _termShift is the number of low bits of an epoch that count within a term;
	// it leaves room for a million epochs in each term.
	_termShift = 20
	// _resendDelay is the wait before an order without an answer is given again.
	_resendDelay = 700 * time.Millisecond
	// _joinMargin is the time that a join may take in addition to its load.
	_joinMargin = 3 * time.Second
	// _maxDroppedPlans is the number of dropped plans above which those whose group
	// the fleet does not show are forgotten. Dropped plans are kept because their
	// group may still appear, if a join is carried out late.
	_maxDroppedPlans = 1000
	// _maxRefusedJoins is how many joins of a plan may be refused before the plan
	// is dropped. A few refusals are no reason to drop the plan: a valid join is
	// also refused while the upstream's report lags behind.
	_maxRefusedJoins = 8
	// _refusalDelay is the wait before a refused order is given again.
	_refusalDelay = 150 * time.Millisecond
	// _fleetSettleTime is how long the number of upstreams must be unchanged before
	// models are staged on spares ahead of the first request.
	_fleetSettleTime = 1500 * time.Millisecond
	// _reopenDelay is the wait before a group that another process has closed is
	// opened again: that process may be about to use its members in another group.
	_reopenDelay = 3 * time.Second
	// _maxConditionGap is how long a group may go without being seen in a condition
	// before the condition's age starts from zero again.
	_maxConditionGap = time.Second
	// _unlistedHeadGrace is how long a head may be missing from the platform's list
	// before its group is closed, so that another group forms. No instance sends
	// requests to the head meanwhile.
	_unlistedHeadGrace = time.Second
	// _loadWindow is the period over which the rate of loads is measured.
	_loadWindow = 5 * time.Second
)

// Grouper decides on the groups of one service. The zero value is ready for use.
// A Grouper is not safe for concurrent use.
type Grouper struct {
	term       uint64
	epochCount uint64           // epochs handed out in the term
	plans      map[uint64]*plan // by epoch
	// sent holds the latest order to each upstream, by the upstream's id, until the
	// order is answered and may be given again.
	sent map[string]sentOrder
	// conditions holds when each group was seen in each condition.
	conditions map[groupCondition]observation
	// loadStarts are the times at which loads began within _loadWindow.
	loadStarts []time.Time
	// loadingUntil is when each upstream's load from the weight store is expected
	// to end, by the upstream's id.
	loadingUntil map[string]time.Time
	// staging holds the models that spares are staging, by the upstream's id.
	staging map[string]stagingLoad
	// domainSizes holds the number of upstreams of each domain; the key "" holds
	// the number over all domains.
	domainSizes map[string]domainSize
	// known holds the ids of the upstreams of the latest decision, and returnedAt when an
	// upstream that was not among them had a staged model, by domain.
	known      map[string]bool
	returnedAt map[string]time.Time
	// opened holds the groups that were seen open, and closed those that this
	// process has ordered to close.
	opened, closed map[groupKey]bool
	// dropped holds the groups whose plan was dropped before they were complete.
	dropped map[groupKey]bool
	// uncertainLeaves holds the groups of which a member was ordered to leave with an
	// unknown outcome, so that it may leave even much later.
	uncertainLeaves map[groupKey]bool
	// census holds the counts of the latest decision.
	census []ModelCount
}

// domainSize is a number of upstreams and when it last changed.
type domainSize struct {
	count     int
	changedAt time.Time
}

// stagingLoad is a model that a spare is staging, and when it is expected to end.
type stagingLoad struct {
	model string
	until time.Time
}

// sentOrder is the latest order to an upstream.
type sentOrder struct {
	// at is when the order was given or answered. For a refused order it is set so
	// that the order may be given again after _refusalDelay.
	at        time.Time
	operation Operation
	epoch     uint64
	// observed is the upstream's membership when the order was given.
	observed cataloguer.Membership
	// unanswered is true until the order's outcome is recorded.
	unanswered bool
}

// groupKey identifies a group. A name that is used again has another epoch.
type groupKey struct {
	name  string
	epoch uint64
}

// groupCondition is a group and a condition that it was seen in.
type groupCondition struct {
	group     groupKey
	condition string
}

// observation is when a group was first and last seen in a condition.
type observation struct {
	first, last time.Time
}

// plan is a group that this process is forming.
type plan struct {
	key        groupKey
	domain     string
	dataCentre string
	model      cataloguer.Model
	members    []string // ids, the head first
	startedAt  time.Time
	accepted   map[string]bool // members that have begun to join or have joined, by id
	// loadedAt is when the members that lacked the model are expected to have loaded it,
	// by id.
	loadedAt map[string]time.Time
	// refusedJoins is the number of the plan's joins that were refused.
	refusedJoins int
	// observed holds the members' memberships when the plan was made, by id.
	observed map[string]cataloguer.Membership
}

// group is a group as the fleet shows it.
type group struct {
	key     groupKey
	model   cataloguer.Model
	members []cataloguer.Upstream // by rank
	head    *cataloguer.Upstream  // nil if the fleet shows no member of rank 0
	// lostCount is the number of members that failed their latest checks.
	lostCount int
	// recheckingCount is the number of lost members that are being checked again.
	recheckingCount int
	// drainingCount is the number of members that are draining.
	drainingCount int
}

// isStandby reports whether the group is a standby: one spare that has its model
// loaded.
func (g *group) isStandby() bool { return isStandbyName(g.key.name) }

// isComplete reports whether the group has all its members, among them the head,
// and none of them is lost.
func (g *group) isComplete() bool {
	return g.head != nil && len(g.members) == g.model.GroupSize && g.lostCount == 0
}

// isBeingRechecked reports whether the group has all its members, some of them are
// lost, and every lost one is being checked again.
func (g *group) isBeingRechecked() bool {
	return g.head != nil && len(g.members) == g.model.GroupSize && g.lostCount > 0 && g.lostCount == g.recheckingCount
}

// allIn reports whether each member is in one of the states.
func (g *group) allIn(states ...cataloguer.MemberState) bool {
	for _, m := range g.members {
		if !slices.Contains(states, m.Group.State) {
			return false
		}
	}
	return true
}

// Decide returns the orders to give now. The caller passes the outcome of each of
// them to RecordOutcome.
func (g *Grouper) Decide(now time.Time, s Snapshot) []Order {
	g.startTerm(s)
	g.recordDomainSizes(now, s)
	d := &decision{Grouper: g, now: now, snapshot: s, reserved: make(map[string]bool)}
	d.collectGroups()
	d.advancePlans()
	for _, x := range d.groups {
		d.updateGroup(x)
	}
	d.replaceSlowPlans()
	d.formGroups()
	d.stageSpares()
	d.orderStandbys()
	d.takeCensus()
	g.prune(now, d)
	return d.orders
}

// recordDomainSizes records the number of upstreams of each domain, and the upstreams that
// have returned with a staged model.
func (g *Grouper) recordDomainSizes(now time.Time, s Snapshot) {
	counts := make(map[string]int)
	known := make(map[string]bool)
	for _, u := range s.Fleet.OfService(s.Service) {
		counts[""]++
		counts[u.Domain]++
		known[u.ID] = true
		if !g.known[u.ID] && len(u.StagedModels) > 0 {
			g.returnedAt[u.Domain] = now
		}
	}
	g.known = known
	for domain, n := range counts {
		if g.domainSizes[domain].count != n {
			g.domainSizes[domain] = domainSize{count: n, changedAt: now}
		}
	}
}

// startTerm discards all state when the lease's term has changed.
func (g *Grouper) startTerm(s Snapshot) {
	if g.term == s.Term && g.plans != nil {
		return
	}
	g.term, g.epochCount = s.Term, 0
	g.plans, g.sent = make(map[uint64]*plan), make(map[string]sentOrder)
	g.conditions, g.loadingUntil = make(map[groupCondition]observation), make(map[string]time.Time)
	g.staging, g.domainSizes = make(map[string]stagingLoad), make(map[string]domainSize)
	g.opened, g.closed = make(map[groupKey]bool), make(map[groupKey]bool)
	g.dropped, g.uncertainLeaves = make(map[groupKey]bool), make(map[groupKey]bool)
	g.known, g.returnedAt = nil, make(map[string]time.Time)
	g.loadStarts = nil
}

// nextEpoch returns the next epoch of the term.
func (g *Grouper) nextEpoch() uint64 {
	g.epochCount++
	return g.term<<_termShift | g.epochCount
}

// TermOf returns the term of an epoch.
func TermOf(epoch uint64) uint64 { return epoch >> _termShift }

// dropPlan gives up a plan before its group is complete.
func (g *Grouper) dropPlan(p *plan) {
	delete(g.plans, p.key.epoch)
	g.dropped[p.key] = true
}

// prune removes entries that are no longer needed.
func (g *Grouper) prune(now time.Time, d *decision) {
	maps.DeleteFunc(g.sent, func(id string, s sentOrder) bool {
		return !s.unanswered && now.Sub(s.at) >= _resendDelay
	})
	maps.DeleteFunc(g.conditions, func(_ groupCondition, s observation) bool { return now.Sub(s.last) > _maxConditionGap })
	maps.DeleteFunc(g.opened, func(k groupKey, _ bool) bool { return d.byKey[k] == nil })
	maps.DeleteFunc(g.closed, func(k groupKey, _ bool) bool { return d.byKey[k] == nil })
	maps.DeleteFunc(g.uncertainLeaves, func(k groupKey, _ bool) bool { return d.byKey[k] == nil })
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

// conditionAge records that a group is in a condition now, and returns for how long
// the group has been in the condition without a gap of more than _maxConditionGap.
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
