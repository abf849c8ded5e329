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
	_stall   = 6 * time.Second
)

// world plays upstreams by the rules of their orders, without a network.
type world struct {
	now      time.Time
	engine   cataloguer.Engine
	grouper  grouper.Grouper
	busy     bool
	term     uint64
	hosts    map[string]*host
	order    []string
	pending  []delivery
	late     time.Duration
	lose     bool
	loads    []time.Time
	faults   []string
	revision uint64
}

type delivery struct {
	at    time.Time
	order grouper.Order
	// expect is the count of orders that the order was decided on, and term that of
	// the process that gave it.
	expect int
	term   uint64
}

// host is one upstream.
type host struct {
	cataloguer.Upstream
	dead bool
	// cut says that the system can't reach it; it goes on.
	cut bool
	// unlisted says that the platform's list has lost it.
	unlisted bool
	last     string // the model of its last group
	ready    time.Time
	staged   time.Time
	staging  string
	orders   int
	// ordered is when the latest order began, and by is the term of its process.
	ordered  time.Time
	by       uint64
	highest  uint64
	stalling time.Time
}

func newWorld() *world {
	return &world{
		now: time.Unix(1_800_000_000, 0), hosts: make(map[string]*host), term: 1,
		engine: cataloguer.Engine{
			Slots: 26, MaxLoadsPerSecond: 5.5, MaxConcurrentLoads: 8, MaxStagedModels: 1, FormTime: 300 * time.Millisecond,
			Models: []cataloguer.Model{
				{Name: "large", GroupSize: 6, InitialShare: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmUpTime: 1600 * time.Millisecond},
				{Name: "small", GroupSize: 3, InitialShare: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmUpTime: 1100 * time.Millisecond},
			},
		},
	}
}

func (w *world) add(domain string, n int) {
	for range n {
		id := fmt.Sprintf("%s-u%02d", domain, len(w.order))
		w.hosts[id] = &host{Upstream: cataloguer.Upstream{ID: id, Service: _service, Domain: domain, Slots: 26, Address: "10.0.0.1:1"}}
		w.order = append(w.order, id)
	}
}

// fleet shows what the platform's list would.
func (w *world) fleet() *cataloguer.Fleet {
	w.revision++
	list := make(map[string]cataloguer.Upstream)
	for id, h := range w.hosts {
		if !h.dead {
			u := h.Upstream
			u.Unlisted = h.unlisted
			list[id] = u
		}
	}
	return cataloguer.NewFleet(w.revision, list)
}

// run plays d of time.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(_step) {
		w.work()
		lost := make(map[string]bool)
		for id, h := range w.hosts {
			if h.cut {
				lost[id] = true
			}
		}
		orders := w.grouper.Decide(w.now, grouper.World{
			Engine: &w.engine, Service: _service, Fleet: w.fleet(), Lost: lost, Busy: w.busy, Term: w.term,
		})
		for _, o := range orders {
			w.give(o)
		}
		w.deliver()
		w.check()
	}
}

// give carries an order to its upstream, or delays it without an answer.
func (w *world) give(o grouper.Order) {
	h := w.hosts[o.Upstream]
	if h == nil || h.dead || h.cut {
		w.grouper.Done(w.now, o, grouper.OutcomeUnknown)
		return
	}
	if w.lose {
		w.pending = append(w.pending, delivery{at: w.now.Add(w.late), order: o, expect: h.orders, term: w.term})
		w.grouper.Done(w.now, o, grouper.OutcomeUnknown)
		return
	}
	if h.Group.Name != o.From.Name || h.Group.Epoch != o.From.Epoch {
		w.grouper.Done(w.now, o, grouper.OutcomeRefused)
		return
	}
	if w.mayHaveOpened(h, o) {
		w.grouper.Done(w.now, o, grouper.OutcomeUnknown)
		return
	}
	outcome := grouper.OutcomeRefused
	if w.accept(h, o) {
		outcome = grouper.OutcomeAccepted
		h.ordered, h.by = w.now, w.term
	}
	w.grouper.Done(w.now, o, outcome)
}

// mayHaveOpened says that a head would be taken out of its group although another
// process has just given it an order, which its state may not show yet: package
// conductor gives no such order.
func (w *world) mayHaveOpened(h *host, o grouper.Order) bool {
	const shows = 1200 * time.Millisecond
	leaves := o.Operation == grouper.OperationJoin || o.Operation == grouper.OperationLeave
	return leaves && h.Group.Name != "" && h.Group.Rank == 0 && h.by != w.term && w.now.Sub(h.ordered) < shows
}

// deliver carries out the delayed orders whose time has come.
func (w *world) deliver() {
	var left []delivery
	for _, x := range w.pending {
		h := w.hosts[x.order.Upstream]
		switch {
		case w.now.Before(x.at):
			left = append(left, x)
		case !h.dead && h.orders == x.expect:
			if w.accept(h, x.order) {
				h.ordered, h.by = w.now, x.term
			}
		}
	}
	w.pending = left
}

func (w *world) accept(h *host, o grouper.Order) bool {
	m, _ := w.engine.Model(o.Model)
	same := h.Group.Name == o.Group && h.Group.Epoch == o.Epoch
	switch o.Operation {
	case grouper.OperationStage:
		w.load()
		h.staging, h.staged = o.Model, w.now.Add(w.loadTime(m))
	case grouper.OperationJoin:
		return w.acceptJoin(h, o, m)
	case grouper.OperationOpen:
		if !same || h.Group.Rank != 0 || h.Group.State != cataloguer.MemberReady {
			return false
		}
		w.checkWhole(h, o)
		h.Group.State = cataloguer.MemberOpen
	case grouper.OperationClose:
		if !same || h.Group.Rank != 0 || h.Group.State != cataloguer.MemberOpen {
			return false
		}
		h.Group.State = cataloguer.MemberReady
	case grouper.OperationLeave:
		if !same {
			return false
		}
		h.Group = cataloguer.Membership{Model: h.Group.Model}
	}
	h.orders++
	return true
}

func (w *world) acceptJoin(h *host, o grouper.Order, m cataloguer.Model) bool {
	if o.Epoch < h.highest {
		return false
	}
	if old := w.headOf(h); old != nil && old != h && old.Group.State == cataloguer.MemberOpen {
		w.faults = append(w.faults, fmt.Sprintf("%s joins %s while the head %s of its group is open", h.ID, o.Group, old.ID))
	}
	h.highest = o.Epoch
	h.orders++
	h.Group = cataloguer.Membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, h.ID), State: cataloguer.MemberJoining}
	switch {
	case h.last == m.Name:
		h.ready = w.now.Add(200 * time.Millisecond)
	case slices.Contains(h.StagedModels, m.Name):
		h.ready = w.now.Add(m.WarmUpTime)
	case h.staging == m.Name:
		h.ready = h.staged.Add(m.WarmUpTime)
	default:
		w.load()
		h.ready = w.now.Add(w.loadTime(m))
	}
	h.last = m.Name
	return true
}

// headOf returns the living head of an upstream's group.
func (w *world) headOf(h *host) *host {
	if h.Group.Name == "" {
		return nil
	}
	for _, x := range w.hosts {
		if !x.dead && x.Group.Name == h.Group.Name && x.Group.Epoch == h.Group.Epoch && x.Group.Rank == 0 {
			return x
		}
	}
	return nil
}

// checkWhole notes an open group that lacks a member.
func (w *world) checkWhole(h *host, o grouper.Order) {
	ready := 0
	for _, x := range w.hosts {
		if x.Group.Name == o.Group && x.Group.Epoch == o.Epoch && (x.Group.State == cataloguer.MemberReady || x.dead) {
			ready++
		}
	}
	if m, _ := w.engine.Model(o.Model); ready != m.GroupSize {
		w.faults = append(w.faults, fmt.Sprintf("%s opens with %d of %d members", h.ID, ready, m.GroupSize))
	}
}

func (w *world) load() {
	if w.busy {
		w.loads = append(w.loads, w.now)
	}
}

func (w *world) loadTime(m cataloguer.Model) time.Duration {
	if w.busy {
		return m.LoadTime
	}
	return m.LoadTime / 10
}

// work lets the upstreams' own time pass.
func (w *world) work() {
	for _, h := range w.hosts {
		if h.staging != "" && !w.now.Before(h.staged) {
			h.StagedModels, h.staging = []string{h.staging}, ""
		}
		if h.Group.State == cataloguer.MemberJoining && !w.now.Before(h.ready) {
			h.Group.State, h.Group.Model, h.StagedModels = cataloguer.MemberReady, h.last, []string{h.last}
		}
		w.stall(h)
	}
}

// stall breaks an open head some time after a member has gone.
func (w *world) stall(h *host) {
	if h.dead || h.Group.Rank != 0 || h.Group.State != cataloguer.MemberOpen {
		h.stalling = time.Time{}
		return
	}
	n := 0
	for _, x := range w.hosts {
		if !x.dead && x.Group.Name == h.Group.Name && x.Group.Epoch == h.Group.Epoch {
			n++
		}
	}
	m, _ := w.engine.Model(h.Group.Model)
	switch {
	case n >= m.GroupSize:
		h.stalling = time.Time{}
	case h.stalling.IsZero():
		h.stalling = w.now
	case w.now.Sub(h.stalling) >= _stall:
		h.Group.State = cataloguer.MemberBroken
	}
}

// check notes a broken bound on loads.
func (w *world) check() {
	n := 0
	for _, at := range w.loads {
		if w.now.Sub(at) < 5*time.Second {
			n++
		}
	}
	if float64(n) > w.engine.MaxLoadsPerSecond*5*1.1+3 {
		w.faults = append(w.faults, fmt.Sprintf("%d loads in 5 s", n))
	}
}

// open counts the open groups of a model that are whole.
func (w *world) open(model string) int {
	n := 0
	for _, h := range w.hosts {
		if !h.dead && h.Group.Rank == 0 && h.Group.State == cataloguer.MemberOpen && h.Group.Model == model && h.stalling.IsZero() {
			n++
		}
	}
	return n
}

// spare says that an upstream is in no group that could serve.
func (h *host) spare() bool {
	return h.Group.Name == "" || strings.HasPrefix(h.Group.Name, "lb-standby-")
}

// stagedSpares counts the spares that hold a model, any one where it is empty.
func (w *world) stagedSpares(model string) int {
	n := 0
	for _, h := range w.hosts {
		if !h.dead && h.spare() && len(h.StagedModels) > 0 && (model == "" || h.StagedModels[0] == model) {
			n++
		}
	}
	return n
}

// find returns the first living upstream that fits: "head MODEL", "member MODEL",
// "spare" or an id.
func (w *world) find(what string) *host {
	kind, model, _ := strings.Cut(what, " ")
	for _, id := range w.order {
		h := w.hosts[id]
		open := h.Group.State == cataloguer.MemberOpen
		fits := id == what ||
			kind == "head" && open && h.Group.Model == model ||
			kind == "member" && h.Group.Rank > 0 && h.Group.Model == model && w.headOf(h) != nil && w.headOf(h).Group.State == cataloguer.MemberOpen ||
			kind == "spare" && h.spare()
		if fits && !h.dead && !h.cut {
			return h
		}
	}
	return nil
}
