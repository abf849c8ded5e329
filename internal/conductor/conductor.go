package conductor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

const (
	// _tick is the time between two decisions when nothing happens.
	_decisionInterval = 200 * time.Millisecond
	// _reportTimeout bounds the question for a report; an upstream of the same
	// region answers in milliseconds.
	_reportTimeout = 300 * time.Millisecond
	// _orderTimeout bounds an order, which is answered at once.
	_orderTimeout = 700 * time.Millisecond
	// _checkEvery is the time between two checks of a group's member.
	_checkInterval = time.Second
	// _recheck is the time to the next check after one that failed.
	_recheckDelay = 200 * time.Millisecond
	// _lostAfter is the number of checks in a row that fail before a member
	// counts as lost.
	_failuresUntilLost = 2
	// _openShows is the time after which an order to open shows in the state of a
	// head: the engine's own time to form and the lag of reports.
	_openVisibleDelay = 1200 * time.Millisecond
	// _lingerAfter is how long after its lease has lapsed a holder that can't reach
	// the store gives no orders: another one that can has taken the lease by then,
	// and upstreams show its orders.
	_lapsedLeaseDelay = 3 * time.Second
	// _listSettles is how long after the store's return its list may show upstreams as
	// they were before: they write their entries again within two seconds.
	_listSettleTime = 2500 * time.Millisecond
	// _hintsKept bounds the hints that wait.
	_maxSuspects = 64
)

// ErrRefused says that an upstream refused an order, which had no effect.
var ErrRefused = errors.New("order refused")

// Command is an order with the number of orders that the upstream has accepted
// so far; another number there refuses it.
type Command struct {
	grouper.Order
	ExpectedOrders uint64
}

// UpstreamClient speaks to upstreams.
type UpstreamClient interface {
	Report(ctx context.Context, u cataloguer.Upstream) (cataloguer.Report, error)
	// Order says whether the order has begun; without an error and with false the
	// state held already. ErrRefused says that it had no effect, and another error
	// that no answer came.
	Order(ctx context.Context, u cataloguer.Upstream, c Command) (begun bool, err error)
}

// Lease says whether this process gives the orders.
type Lease interface {
	Held(now time.Time) bool
	// WasLastHolder says that this process held the lease last, as far as it knows.
	WasLastHolder() bool
	Term() uint64
}

// Catalogue is what the process knows.
type Catalogue interface {
	Configuration() *cataloguer.Configuration
	Fleet() *cataloguer.Fleet
	// ListUnavailable says that the platform's list can't be read.
	ListUnavailable() bool
	// Changed is closed at the next change.
	Changed() <-chan struct{}
}

// Conductor is the service. Set its fields before Run.
type Conductor struct {
	Lease     Lease
	Catalogue Catalogue
	Upstreams UpstreamClient
	Log       logger.Logger
	// TrafficStarted says that callers' requests have begun.
	TrafficStarted func() bool
	// OnLeadingChange is told when this process begins or ends to give orders; it may be
	// nil.
	OnLeadingChange func(leading bool)

	suspects    chan string
	groupers    map[string]*grouper.Grouper
	checks      map[string]*check
	orderCounts orderCounts
	// members are the members of groups as last listed, and those that are
	// unlisted and still answer.
	members map[string]member
	// reports are what upstreams have said of themselves while the platform's list
	// is old.
	reports map[string]cataloguer.Report
	// latest is the latest term whose orders an upstream has shown.
	latestTerm uint64
	// listAway is when the platform's list could last not be read.
	listUnavailableAt time.Time
	// lastHeld is when the lease was last held.
	leaseHeldAt time.Time
	results     chan func(now time.Time)
	tasks       sync.WaitGroup
	leading     bool
	// mu guards hints, which Run makes.
	mu sync.Mutex
}

// Run works until ctx ends, and waits for the orders that are under way.
func (c *Conductor) Run(ctx context.Context) {
	c.groupers, c.checks = make(map[string]*grouper.Grouper), make(map[string]*check)
	c.members, c.reports = make(map[string]member), make(map[string]cataloguer.Report)
	c.results = make(chan func(time.Time))
	c.mu.Lock()
	c.suspects = make(chan string, _maxSuspects)
	hints := c.suspects
	c.mu.Unlock()
	defer c.tasks.Wait()
	t := time.NewTicker(_decisionInterval)
	defer t.Stop()
	for {
		changed := c.Catalogue.Changed()
		c.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case f := <-c.results:
			f(time.Now())
			c.applyResults()
		case id := <-hints:
			c.checkGroupNow(id, time.Now())
		case <-changed:
		case <-t.C:
		}
	}
}

// Suspect says that an upstream fell silent, so that the members of its group
// are checked at once. It never blocks.
func (c *Conductor) Suspect(upstream string) {
	c.mu.Lock()
	hints := c.suspects
	c.mu.Unlock()
	select {
	case hints <- upstream:
	default:
		// Enough checks are under way.
	}
}

// drain takes the results that have come meanwhile.
func (c *Conductor) applyResults() {
	for {
		select {
		case f := <-c.results:
			f(time.Now())
		default:
			return
		}
	}
}

func (c *Conductor) step(ctx context.Context, now time.Time) {
	configuration, fleet := c.Catalogue.Configuration(), c.Catalogue.Fleet()
	if c.Catalogue.ListUnavailable() {
		c.listUnavailableAt = now
	}
	held := c.Lease.Held(now)
	if held {
		c.leaseHeldAt = now
	}
	waits := !held && c.mayKeepLeading()
	held = held || waits && now.Sub(c.leaseHeldAt) >= _lapsedLeaseDelay
	if held != c.leading {
		c.leading = held
		if c.OnLeadingChange != nil {
			c.OnLeadingChange(held)
		}
		c.Log.Event("conductor", logger.Fields{"leading": held, "term": c.Lease.Term(), "store_away": c.Catalogue.ListUnavailable()})
	}
	if waits && !held && configuration != nil && fleet != nil {
		c.watchMembers(ctx, now, configuration, fleet)
		return
	}
	if !held || configuration == nil || fleet == nil {
		clear(c.checks)
		clear(c.members)
		clear(c.reports)
		return
	}
	for name, s := range configuration.Services {
		if s.Engine == nil {
			continue
		}
		fleet := c.checkedFleet(ctx, now, fleet, name)
		g := c.groupers[name]
		if g == nil {
			g = &grouper.Grouper{}
			c.groupers[name] = g
		}
		lost, doubted := c.lostMembers()
		orders := g.Decide(now, grouper.Snapshot{
			Engine: s.Engine, Service: name, Fleet: fleet, Lost: lost, Rechecking: doubted, TrafficStarted: c.TrafficStarted(), Term: c.Lease.Term(),
		})
		for _, o := range orders {
			c.sendOrder(ctx, g, fleet, o)
		}
	}
}

// checked checks the members of a service's groups, and returns the fleet as it
// is known besides the platform's list.
func (c *Conductor) checkedFleet(ctx context.Context, now time.Time, fleet *cataloguer.Fleet, service string) *cataloguer.Fleet {
	known := c.withReports(now, c.withUnlisted(now, fleet, service), service)
	c.checkMembers(ctx, now, known, service)
	return known
}

// give carries out one order on a goroutine of its own.
func (c *Conductor) sendOrder(ctx context.Context, g *grouper.Grouper, fleet *cataloguer.Fleet, o grouper.Order) {
	u := fleet.Upstreams[o.Upstream]
	c.tasks.Go(func() {
		sent := time.Now()
		outcome, err := c.executeOrder(ctx, u, o)
		c.postResult(ctx, func(now time.Time) {
			g.RecordOutcome(now, o, outcome)
			if k := c.checks[o.Upstream]; k != nil && c.isListStale(now) {
				k.nextAt = now
			}
			fields := logger.Fields{
				"operation": o.Operation, "upstream": o.Upstream, "group": o.Group, "epoch": o.Epoch, "model": o.Model,
				"reason": o.Reason, "fleet_revision": fleet.Revision, "outcome": outcome, "took_ms": now.Sub(sent).Milliseconds(),
			}
			if o.Operation == grouper.OperationJoin {
				fields["members"] = len(o.Members)
			}
			if err != nil {
				c.Log.Failure("order", err, fields)
				return
			}
			c.Log.Event("order", fields)
		})
	})
}

// carryOut reads the upstream's state, and gives the order if it is still the
// one that the order was decided on.
func (c *Conductor) executeOrder(ctx context.Context, u cataloguer.Upstream, o grouper.Order) (grouper.Outcome, error) {
	r, err := c.report(ctx, u)
	if err != nil {
		return grouper.OutcomeUnknown, fmt.Errorf("conductor: %s on %s: report: %w", o.Operation, u.ID, err)
	}
	if u.StartedMs != 0 && r.StartedMs != 0 && r.StartedMs != u.StartedMs {
		return grouper.OutcomeRefused, fmt.Errorf("conductor: %s on %s: it has started again", o.Operation, u.ID)
	}
	if o.Operation == grouper.OperationJoin && r.Group.Name == o.Group && r.Group.Epoch == o.Epoch {
		return grouper.OutcomeAccepted, nil
	}
	if o.Operation == grouper.OperationStage && r.OrderInProgress {
		// Another process has ordered it before.
		return grouper.OutcomeAccepted, nil
	}
	if r.Group.Name != o.Observed.Name || r.Group.Epoch != o.Observed.Epoch {
		return grouper.OutcomeRefused, fmt.Errorf("conductor: %s on %s: it is in group %q of epoch %d now", o.Operation, u.ID, r.Group.Name, r.Group.Epoch)
	}
	if leaves := o.Operation == grouper.OperationJoin || o.Operation == grouper.OperationLeave; leaves && r.Group.IsServingHead() {
		return grouper.OutcomeRefused, fmt.Errorf("conductor: %s on %s: it is the head of group %q, which is %s now", o.Operation, u.ID, r.Group.Name, r.Group.State)
	}
	if err := c.checkMayLeave(u, o, r); err != nil {
		return grouper.OutcomeUnknown, err
	}
	ctx, cancel := context.WithTimeout(ctx, _orderTimeout)
	defer cancel()
	expect := c.orderCounts.expected(u.ID, r)
	begun, err := c.Upstreams.Order(ctx, u, Command{Order: o, ExpectedOrders: expect})
	switch {
	case err == nil:
		if begun {
			c.orderCounts.recordBegun(u.ID, r.StartedMs, expect+1)
		}
		return grouper.OutcomeAccepted, nil
	case errors.Is(err, ErrRefused):
		c.orderCounts.forget(u.ID)
		return grouper.OutcomeRefused, fmt.Errorf("conductor: %s on %s: %w", o.Operation, u.ID, err)
	default:
		return grouper.OutcomeUnknown, fmt.Errorf("conductor: %s on %s: %w", o.Operation, u.ID, err)
	}
}

// mayLeave says that an upstream may be told to leave its group. A head may have
// been told to open by another process, which its state shows only some time
// later; that is ruled out where the latest order was this process's own, or the
// number of orders has stood still for long enough.
func (c *Conductor) checkMayLeave(u cataloguer.Upstream, o grouper.Order, r cataloguer.Report) error {
	now := time.Now()
	c.orderCounts.observe(u.ID, r, now)
	leaves := o.Operation == grouper.OperationJoin || o.Operation == grouper.OperationLeave
	if !leaves || r.Group.Name == "" || r.Group.Rank != 0 {
		return nil
	}
	if c.orderCounts.latestIsOwn(u.ID, r) || c.orderCounts.unchangedFor(u.ID, r, now) >= _openVisibleDelay {
		return nil
	}
	return fmt.Errorf("conductor: %s on %s: another process may have opened group %q", o.Operation, u.ID, r.Group.Name)
}

// result hands a result to Run's goroutine.
func (c *Conductor) postResult(ctx context.Context, f func(now time.Time)) {
	select {
	case c.results <- f:
	case <-ctx.Done():
	}
}
