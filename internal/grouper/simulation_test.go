package grouper_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

const (
	_service = "engines"
	_step    = 100 * time.Millisecond
	// _stallTime is how long an open group lacks a member before its head enters the
	// broken state.
	_stallTime = 6 * time.Second
)

// simulation runs a Grouper and upstreams that carry out its orders by the platform's
// rules, without a network.
type simulation struct {
	now            time.Time
	engine         cataloguer.Engine
	grouper        grouper.Grouper
	trafficStarted bool
	term           uint64 // of the lease
	upstreams      map[string]*upstream
	ids            []string // of the upstreams, in the order of their creation
	delayed        []delayedOrder
	executionDelay time.Duration // of orders given while loseAnswers is true
	loseAnswers    bool
	loadStarts     []time.Time // of loads that count towards the rate
	violations     []string    // one description for each violated invariant
	revision       uint64
}

// delayedOrder is an order that its upstream carries out later, without an answer.
type delayedOrder struct {
	at    time.Time // when the upstream carries out the order
	order grouper.Order
	// expectedOrders is the upstream's orderCount when the order was given, and term
	// is the term of the process that gave it.
	expectedOrders int
	term           uint64
}

// upstream is a simulated upstream.
type upstream struct {
	cataloguer.Upstream
	// dead means that the upstream has ended for good.
	dead bool
	// unreachable means that the grouper's process can't reach the upstream, which
	// still runs.
	unreachable bool
	// unlisted means that the upstream is missing from the platform's list.
	unlisted bool
	// backAt is when an upstream that crashed runs again, with what is staged on its host.
	backAt       time.Time
	lastModel    string    // the model of its latest group
	readyAt      time.Time // when its join ends
	stagedAt     time.Time // when the staging of stagingModel ends
	stagingModel string
	orderCount   int // accepted orders
	// lastOrderAt is when the latest order began, and lastOrderTerm is the term of
	// the process that gave it.
	lastOrderAt     time.Time
	lastOrderTerm   uint64
	highestEpoch    uint64    // of the groups that it has joined
	incompleteSince time.Time // when its open group first lacked a member, or zero
	// drainsSince is when it began to drain, if it leaves by itself.
	drainsSince time.Time
}

func newSimulation() *simulation {
	return &simulation{
		now: time.Unix(1_800_000_000, 0), upstreams: make(map[string]*upstream), term: 1,
		engine: cataloguer.Engine{
			Slots: 26, MaxLoadsPerSecond: 5.5, MaxConcurrentLoads: 8, MaxStagedModels: 1, FormTime: 300 * time.Millisecond,
			Models: []cataloguer.Model{
				{Name: "large", GroupSize: 6, InitialShare: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmUpTime: 1600 * time.Millisecond},
				{Name: "small", GroupSize: 3, InitialShare: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmUpTime: 1100 * time.Millisecond},
			},
		},
	}
}

func (s *simulation) add(domain string, n int) {
	for range n {
		id := fmt.Sprintf("%s-u%02d", domain, len(s.ids))
		dataCentre, _, _ := strings.Cut(domain, "/")
		s.upstreams[id] = &upstream{Upstream: cataloguer.Upstream{ID: id, Service: _service, DataCentre: dataCentre, Domain: domain, Slots: 26, Address: "10.0.0.1:1"}}
		s.ids = append(s.ids, id)
	}
}

// fleet returns the fleet with all upstreams that are not dead, marked where unlisted.
func (s *simulation) fleet() *cataloguer.Fleet {
	s.revision++
	list := make(map[string]cataloguer.Upstream)
	for id, u := range s.upstreams {
		if !u.dead {
			x := u.Upstream
			x.Unlisted = u.unlisted
			list[id] = x
		}
	}
	return cataloguer.NewFleet(s.revision, list)
}

// run advances the simulation by d in steps of _step.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(_step) {
		s.advanceUpstreams()
		lost := make(map[string]bool)
		for id, u := range s.upstreams {
			if u.unreachable {
				lost[id] = true
			}
		}
		orders := s.grouper.Decide(s.now, grouper.Snapshot{
			Engine: &s.engine, Service: _service, Fleet: s.fleet(), Lost: lost, TrafficStarted: s.trafficStarted, Term: s.term,
		})
		for _, o := range orders {
			s.sendOrder(o)
		}
		s.deliverDelayed()
		s.checkLoadRate()
	}
}

// sendOrder sends an order to its upstream. While answers are lost, it delays the
// order and gives no answer.
func (s *simulation) sendOrder(o grouper.Order) {
	u := s.upstreams[o.Upstream]
	if u == nil || u.dead || u.unreachable {
		s.grouper.RecordOutcome(s.now, o, grouper.OutcomeUnsent)
		return
	}
	if s.loseAnswers {
		s.delayed = append(s.delayed, delayedOrder{at: s.now.Add(s.executionDelay), order: o, expectedOrders: u.orderCount, term: s.term})
		s.grouper.RecordOutcome(s.now, o, grouper.OutcomeUnknown)
		return
	}
	if u.Group.Name != o.Observed.Name || u.Group.Epoch != o.Observed.Epoch {
		s.grouper.RecordOutcome(s.now, o, grouper.OutcomeRefused)
		return
	}
	if s.mayHaveOpened(u, o) {
		s.grouper.RecordOutcome(s.now, o, grouper.OutcomeUnsent)
		return
	}
	outcome := grouper.OutcomeRefused
	if s.accept(u, o) {
		outcome = grouper.OutcomeAccepted
		u.lastOrderAt, u.lastOrderTerm = s.now, s.term
	}
	s.grouper.RecordOutcome(s.now, o, outcome)
}

// mayHaveOpened reports whether an order would take a head out of its group although
// another process has just given the head an order, which its state may not show
// yet. Package conductor withholds such an order.
func (s *simulation) mayHaveOpened(u *upstream, o grouper.Order) bool {
	const visibleDelay = 1200 * time.Millisecond
	leaves := o.Operation == grouper.OperationJoin || o.Operation == grouper.OperationLeave
	return leaves && u.Group.Name != "" && u.Group.Rank == 0 && u.lastOrderTerm != s.term && s.now.Sub(u.lastOrderAt) < visibleDelay
}

// deliverDelayed makes the upstreams carry out the delayed orders that are due.
func (s *simulation) deliverDelayed() {
	var left []delayedOrder
	for _, x := range s.delayed {
		u := s.upstreams[x.order.Upstream]
		switch {
		case s.now.Before(x.at):
			left = append(left, x)
		case !u.dead && u.orderCount == x.expectedOrders:
			if s.accept(u, x.order) {
				u.lastOrderAt, u.lastOrderTerm = s.now, x.term
			}
		}
	}
	s.delayed = left
}

// accept carries out an order, and reports whether the upstream accepted it.
func (s *simulation) accept(u *upstream, o grouper.Order) bool {
	m, _ := s.engine.Model(o.Model)
	same := u.Group.Name == o.Group && u.Group.Epoch == o.Epoch
	switch o.Operation {
	case grouper.OperationStage:
		s.recordLoad()
		u.stagingModel, u.stagedAt = o.Model, s.now.Add(s.loadTime(m))
	case grouper.OperationJoin:
		return s.acceptJoin(u, o, m)
	case grouper.OperationOpen:
		if !same || u.Group.Rank != 0 || u.Group.State != cataloguer.MemberReady {
			return false
		}
		s.checkComplete(u, o)
		u.Group.State = cataloguer.MemberOpen
	case grouper.OperationClose:
		if !same || u.Group.Rank != 0 || u.Group.State != cataloguer.MemberOpen {
			return false
		}
		u.Group.State = cataloguer.MemberReady
	case grouper.OperationLeave:
		if !same {
			return false
		}
		u.Group = cataloguer.Membership{Model: u.Group.Model}
	}
	u.orderCount++
	return true
}

// acceptJoin carries out a join, and records a violation if the upstream leaves an
// open group by it.
func (s *simulation) acceptJoin(u *upstream, o grouper.Order, m cataloguer.Model) bool {
	if o.Epoch < u.highestEpoch {
		return false
	}
	if old := s.headOf(u); old != nil && old != u && old.Group.State == cataloguer.MemberOpen {
		s.violations = append(s.violations, fmt.Sprintf("%s joins %s while the head %s of its group is open", u.ID, o.Group, old.ID))
	}
	u.highestEpoch = o.Epoch
	u.orderCount++
	u.Group = cataloguer.Membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, u.ID), State: cataloguer.MemberJoining}
	switch {
	case u.lastModel == m.Name:
		u.readyAt = s.now.Add(200 * time.Millisecond)
	case slices.Contains(u.StagedModels, m.Name):
		u.readyAt = s.now.Add(m.WarmUpTime)
	case u.stagingModel == m.Name:
		u.readyAt = u.stagedAt.Add(m.WarmUpTime)
	default:
		s.recordLoad()
		u.readyAt = s.now.Add(s.loadTime(m))
	}
	u.lastModel = m.Name
	return true
}

// headOf returns the head of an upstream's group, or nil if there is none or it is dead.
func (s *simulation) headOf(u *upstream) *upstream {
	if u.Group.Name == "" {
		return nil
	}
	for _, x := range s.upstreams {
		if !x.dead && x.Group.Name == u.Group.Name && x.Group.Epoch == u.Group.Epoch && x.Group.Rank == 0 {
			return x
		}
	}
	return nil
}

// checkComplete records a violation if a group that is about to open lacks a
// member. A dead member counts as present.
func (s *simulation) checkComplete(u *upstream, o grouper.Order) {
	ready := 0
	for _, x := range s.upstreams {
		if x.Group.Name == o.Group && x.Group.Epoch == o.Epoch && (x.Group.State == cataloguer.MemberReady || x.dead) {
			ready++
		}
	}
	if m, _ := s.engine.Model(o.Model); ready != m.GroupSize {
		s.violations = append(s.violations, fmt.Sprintf("%s opens with %d of %d members", u.ID, ready, m.GroupSize))
	}
}

// recordLoad records a load, which counts towards the rate once there is traffic.
func (s *simulation) recordLoad() {
	if s.trafficStarted {
		s.loadStarts = append(s.loadStarts, s.now)
	}
}

// loadTime returns the time that a load takes; ahead of the first request it takes
// a tenth.
func (s *simulation) loadTime(m cataloguer.Model) time.Duration {
	if s.trafficStarted {
		return m.LoadTime
	}
	return m.LoadTime / 10
}

// advanceUpstreams ends the loads, joins and stalls that are due.
func (s *simulation) advanceUpstreams() {
	for _, u := range s.upstreams {
		if u.dead && !u.backAt.IsZero() && !s.now.Before(u.backAt) {
			u.dead, u.backAt = false, time.Time{}
		}
		if u.stagingModel != "" && !s.now.Before(u.stagedAt) {
			u.StagedModels, u.stagingModel = []string{u.stagingModel}, ""
		}
		if u.Group.State == cataloguer.MemberJoining && !s.now.Before(u.readyAt) {
			u.Group.State, u.Group.Model, u.StagedModels = cataloguer.MemberReady, u.lastModel, []string{u.lastModel}
		}
		s.updateStall(u)
		s.endDrained(u)
	}
}

// crash ends an upstream, which runs again after d. It then is in no group.
func (s *simulation) crash(u *upstream, d time.Duration) {
	u.dead, u.backAt = true, s.now.Add(d)
	u.Group, u.lastModel, u.stagingModel = cataloguer.Membership{}, "", ""
	u.orderCount, u.highestEpoch = 0, 0
}

// endDrained ends a draining upstream that leaves by itself: after two seconds, or while
// the head of its group is open, after ten.
func (s *simulation) endDrained(u *upstream) {
	const usual, longest = 2 * time.Second, 10 * time.Second
	if u.drainsSince.IsZero() || s.now.Sub(u.drainsSince) < usual {
		return
	}
	h := s.headOf(u)
	if h == nil || h.Group.State != cataloguer.MemberOpen || s.now.Sub(u.drainsSince) >= longest {
		u.dead = true
	}
}

// updateStall puts an open head in the broken state once its group has lacked a member
// for _stallTime.
func (s *simulation) updateStall(u *upstream) {
	if u.dead || u.Group.Rank != 0 || u.Group.State != cataloguer.MemberOpen {
		u.incompleteSince = time.Time{}
		return
	}
	n := 0
	for _, x := range s.upstreams {
		if !x.dead && x.Group.Name == u.Group.Name && x.Group.Epoch == u.Group.Epoch {
			n++
		}
	}
	m, _ := s.engine.Model(u.Group.Model)
	switch {
	case n >= m.GroupSize:
		u.incompleteSince = time.Time{}
	case u.incompleteSince.IsZero():
		u.incompleteSince = s.now
	case s.now.Sub(u.incompleteSince) >= _stallTime:
		u.Group.State = cataloguer.MemberBroken
	}
}

// checkLoadRate records a violation if more loads began in 5 s than the rate allows,
// with a tolerance of 10% and 3 loads.
func (s *simulation) checkLoadRate() {
	n := 0
	for _, at := range s.loadStarts {
		if s.now.Sub(at) < 5*time.Second {
			n++
		}
	}
	if float64(n) > s.engine.MaxLoadsPerSecond*5*1.1+3 {
		s.violations = append(s.violations, fmt.Sprintf("%d loads in 5 s", n))
	}
}

// openGroups returns the number of complete open groups of a model, in one data centre or,
// if dataCentre is empty, in all.
func (s *simulation) openGroups(model, dataCentre string) int {
	n := 0
	for _, u := range s.upstreams {
		if dataCentre != "" && u.DataCentre != dataCentre {
			continue
		}
		if !u.dead && u.Group.Rank == 0 && u.Group.State == cataloguer.MemberOpen && u.Group.Model == model && u.incompleteSince.IsZero() {
			n++
		}
	}
	return n
}

// isSpare reports whether the upstream is in no group other than a standby.
func (u *upstream) isSpare() bool {
	return u.Group.Name == "" || strings.HasPrefix(u.Group.Name, "lb-standby-")
}

// stagedSpares returns the number of spares that have the model staged, or any model
// if model is empty.
func (s *simulation) stagedSpares(model string) int {
	n := 0
	for _, u := range s.upstreams {
		if !u.dead && u.isSpare() && len(u.StagedModels) > 0 && (model == "" || u.StagedModels[0] == model) {
			n++
		}
	}
	return n
}

// find returns the first upstream that matches the selector and is neither dead nor
// unreachable, or nil if there is none. A selector is "head MODEL" or "member MODEL",
// for the head or another member of an open group, "spare", or an id.
func (s *simulation) find(selector string) *upstream {
	kind, model, _ := strings.Cut(selector, " ")
	for _, id := range s.ids {
		u := s.upstreams[id]
		open := u.Group.State == cataloguer.MemberOpen
		matches := id == selector ||
			kind == "head" && open && u.Group.Model == model ||
			kind == "member" && u.Group.Rank > 0 && u.Group.Model == model && s.headOf(u) != nil && s.headOf(u).Group.State == cataloguer.MemberOpen ||
			kind == "spare" && u.isSpare()
		if matches && !u.dead && !u.unreachable {
			return u
		}
	}
	return nil
}
