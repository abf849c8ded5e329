package conductor

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

const (
	// _decisionInterval is the time between two decisions when no event causes one.
	_decisionInterval = 200 * time.Millisecond
	// _minDecisionInterval is the shortest time between two decisions. Events that come
	// closer together cause one decision, whose cost grows with the fleet.
	_minDecisionInterval = 20 * time.Millisecond
	// _decisionRestFactor is how many times as long as a decision took no other follows
	// it, so that decisions leave most of a slow processor to checks and callers.
	_decisionRestFactor = 4
	// _reportTimeout is the timeout of a request for a report; an upstream of the
	// same region answers in milliseconds.
	_reportTimeout = 300 * time.Millisecond
	// _checkInterval is the time between two checks of a member of a group, unless
	// _maxChecksPerSecond stretches it.
	_checkInterval = time.Second
	// _maxChecksPerSecond is the largest number of periodic checks per second, over all
	// members. Callers' requests show sooner than a periodic check that a busy group
	// has lost a member.
	_maxChecksPerSecond = 300
	// _maxChecksPerCore is the largest number of checks that begin per second and core of
	// this process, and _checkBurst is how much of a second's number may begin at once. A
	// process that checks more answers and learns too late that members have answered.
	_maxChecksPerCore = 1500
	_checkBurst       = 0.1
	// _recheckDelay is the time from a failed check to the next one.
	_recheckDelay = 200 * time.Millisecond
	// _failuresUntilLost is the number of failed checks in a row after which a
	// member counts as lost.
	_failuresUntilLost = 2
	// _activityMargin is how long after a member has stopped the events that its group
	// sent before may still arrive at callers.
	_activityMargin = 100 * time.Millisecond
	// _expiredLeaseDelay is how long a holder that can't reach the store gives no
	// orders after its lease has expired. By the end of that time, another process
	// that can reach the store has taken the lease, and upstreams show its orders.
	_expiredLeaseDelay = 3 * time.Second
	// _listSettleTime is how long after an outage of the store the platform's list
	// may still show upstreams as they were before it: upstreams write their entries
	// again within two seconds.
	_listSettleTime = 2500 * time.Millisecond
	// _pruneInterval is the time between two removals of the numbers of orders of upstreams
	// that are gone.
	_pruneInterval = 10 * time.Second
	// _maxSuspects is the largest number of suspected upstreams in the queue.
	_maxSuspects = 64
)

// Lease is the lease whose holder gives the orders.
type Lease interface {
	// Held reports whether this process holds the lease at the given time.
	Held(now time.Time) bool
	// WasLastHolder reports whether this process was the last known holder of the
	// lease.
	WasLastHolder() bool
	// Term returns the term of the lease as this process last wrote it.
	Term() uint64
	// RenewedAt returns when this process sent the last write by which it took or renewed
	// the lease.
	RenewedAt() time.Time
	// ObserveTerm records a term that was given out; the next one lies above it.
	ObserveTerm(term uint64)
	// LatestTerm returns the latest term that is known; 0 if none is.
	LatestTerm() uint64
}

// Catalogue holds the configuration and the fleet.
type Catalogue interface {
	Configuration() *cataloguer.Configuration
	Fleet() *cataloguer.Fleet
	// ListUnavailable reports whether the platform's list can't be read.
	ListUnavailable() bool
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Screener tells what is known of upstreams beside the platform's list.
type Screener interface {
	// Evacuated returns the evacuated data centres.
	Evacuated() map[string]bool
	// HasDepartures reports whether any upstream has announced that it is leaving, and
	// IsLeaving whether that one has.
	HasDepartures() bool
	IsLeaving(u *cataloguer.Upstream) bool
	// RecordLeaving records that an upstream is leaving, and reports whether that is new.
	RecordLeaving(life screener.Life, source screener.Source, now time.Time) bool
	// RecordLimit records that an upstream states how many requests per second it takes.
	RecordLimit(life screener.Life, rate float64, now time.Time) screener.LimitChange
}

// Conductor gives the orders for all services with engines. Its exported fields must
// be set before Run is called.
type Conductor struct {
	Lease     Lease
	Catalogue Catalogue
	Upstreams UpstreamClient
	Log       logger.Logger
	// TrafficStarted reports whether callers have sent requests.
	TrafficStarted func() bool
	// LastActivity returns when an upstream last sent data to the callers of any process,
	// as far as is known. It may be nil.
	LastActivity func(upstream string) time.Time
	// Screener tells which upstreams are leaving or in an evacuated data centre. It may be
	// nil.
	Screener Screener
	// ProcessorShare is the number of processor cores, or the share of one, that this
	// process may use; 0 means one.
	ProcessorShare float64
	// OnLeadingChange is called when this process starts or stops giving orders. It
	// may be nil.
	OnLeadingChange func(leading bool)

	suspects chan string                 // ids of the upstreams that Suspect queues
	groupers map[string]*grouper.Grouper // by service
	checks   map[string]*check           // by the upstream's id
	// checkLimiter limits the checks that begin.
	checkLimiter *rate.Limiter
	orderCounts  orderCounts
	// countsPrunedAt is when orderCounts was last rid of upstreams that are gone.
	countsPrunedAt time.Time
	// members holds the members of groups, by id: those in the platform's list, and
	// those no longer in it that still answer or are remembered.
	members map[string]member
	// following is true if members is kept while this process gives no orders, and
	// followedRevision is the revision of the list that it was last kept from.
	following        bool
	followedRevision uint64
	// reports holds the latest report of each upstream that has given one while the
	// platform's list is stale, by id.
	reports map[string]cataloguer.Report
	// entries holds what the platform's list of entriesRevision shows of each upstream's
	// group, by id.
	entries         map[string]entry
	entriesRevision uint64
	// restarts holds when upstreams started that have done so since the platform's list
	// showed them, as in cataloguer.Upstream, by id.
	restarts map[string]int64
	// latestTerm is the latest term of the groups that upstreams have reported, and peerTerm
	// that of ObserveTerm.
	latestTerm uint64
	peerTerm   atomic.Uint64
	// listUnavailableAt is when the platform's list was last found unavailable.
	listUnavailableAt time.Time
	// leaseHeldAt is when this process was last found to hold the lease.
	leaseHeldAt time.Time
	// fencedAt is when an upstream last refused an order because of its fencing token, and
	// fencedTerm the term of that order.
	fencedAt   time.Time
	fencedTerm uint64
	// observedRevision is the revision of the fleet whose terms were last observed.
	observedRevision uint64
	results          chan func(now time.Time) // that Run's goroutine calls
	tasks            sync.WaitGroup           // checks and orders in flight
	leading          bool                     // whether this process gives orders
	// censuses holds what was last logged of the groups of each model.
	censuses map[censusKey]loggedCensus
	// mu guards suspects, which Run sets.
	mu sync.Mutex
}

// Run checks members and gives orders until ctx is cancelled, and then waits for the
// checks and orders that are in flight.
func (c *Conductor) Run(ctx context.Context) {
	c.groupers, c.checks = make(map[string]*grouper.Grouper), make(map[string]*check)
	c.members, c.reports = make(map[string]member), make(map[string]cataloguer.Report)
	c.restarts = make(map[string]int64)
	checksPerSecond := max(_maxChecksPerCore*cmp.Or(c.ProcessorShare, 1), _maxChecksPerSecond)
	c.checkLimiter = rate.NewLimiter(rate.Limit(checksPerSecond), int(checksPerSecond*_checkBurst))
	c.results = make(chan func(time.Time))
	c.mu.Lock()
	c.suspects = make(chan string, _maxSuspects)
	suspects := c.suspects
	c.mu.Unlock()
	defer c.tasks.Wait()
	t := time.NewTimer(_decisionInterval)
	defer t.Stop()
	var nextAt time.Time // when the next step may begin
	for due := true; ; {
		changed := c.Catalogue.Changed()
		if now := time.Now(); due && !now.Before(nextAt) {
			c.step(ctx, now)
			due, nextAt = false, time.Now().Add(max(_minDecisionInterval, _decisionRestFactor*time.Since(now)))
		}
		wait := _decisionInterval
		if due {
			wait = time.Until(nextAt)
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case f := <-c.results:
			f(time.Now())
			c.applyResults()
		case id := <-suspects:
			c.checkGroupNow(id, time.Now())
		case <-changed:
		case <-t.C:
		}
		due = true
	}
}

// Suspect reports that an upstream has stopped answering callers' requests, so that
// the members of its group are checked at once. It never blocks.
func (c *Conductor) Suspect(upstream string) {
	c.mu.Lock()
	suspects := c.suspects
	c.mu.Unlock()
	select {
	case suspects <- upstream:
	default:
		// The queue is full, so enough checks are about to start.
	}
}

// ObserveTerm records the latest term under which a process has held the lease, as the other
// processes tell. Only one goroutine
// may call it; other methods may run at the same time.
func (c *Conductor) ObserveTerm(term uint64) {
	c.peerTerm.Store(max(c.peerTerm.Load(), term))
	c.Lease.ObserveTerm(term)
}

// applyResults applies the results that are waiting.
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

// step updates whether this process gives orders, and if it does, starts the checks
// and orders that are due.
func (c *Conductor) step(ctx context.Context, now time.Time) {
	configuration, fleet := c.Catalogue.Configuration(), c.Catalogue.Fleet()
	if c.Catalogue.ListUnavailable() {
		c.listUnavailableAt = now
	}
	if fleet != nil {
		c.pruneCounts(now, fleet)
		c.observeTerms(fleet)
	}
	leading, mayContinue := c.updateLeading(now)
	if mayContinue && !leading && configuration != nil && fleet != nil {
		c.watchMembers(ctx, now, configuration, fleet)
		return
	}
	if !leading || configuration == nil || fleet == nil {
		c.follow(now, fleet)
		return
	}
	if c.following {
		c.recheckFollowed(now, fleet)
	}
	c.observeEntries(now, fleet)
	evacuated := c.evacuated()
	fleet = c.withDepartures(fleet)
	c.pruneRestarts(fleet)
	for name, s := range configuration.Services {
		if s.Engine == nil {
			continue
		}
		fleet := c.checkFleet(ctx, now, fleet, name)
		if c.awaitsFirstChecks(now, fleet, name) {
			continue
		}
		g := c.groupers[name]
		if g == nil {
			g = &grouper.Grouper{}
			c.groupers[name] = g
		}
		lost, rechecking := c.lostMembers()
		orders := g.Decide(now, grouper.Snapshot{
			Engine: s.Engine, Service: name, Fleet: fleet, Lost: lost, Rechecking: rechecking, Unconfirmed: c.unconfirmedMembers(), TrafficStarted: c.TrafficStarted(), Term: c.Lease.Term(), Evacuated: evacuated,
		})
		for _, o := range orders {
			c.sendOrder(ctx, g, fleet, o)
		}
		c.logCensus(now, name, g.Census())
	}
}

// updateLeading updates whether this process gives orders, and returns that, and whether it may
// continue to give them although its lease has expired.
func (c *Conductor) updateLeading(now time.Time) (leading, mayContinue bool) {
	leading = c.Lease.Held(now) && !c.isFenced()
	if leading {
		c.leaseHeldAt = now
	}
	mayContinue = !leading && !c.isFenced() && c.mayKeepLeading()
	leading = leading || mayContinue && now.Sub(c.leaseHeldAt) >= _expiredLeaseDelay
	if leading != c.leading {
		c.leading = leading
		if c.OnLeadingChange != nil {
			c.OnLeadingChange(leading)
		}
		c.Log.Event("conductor", logger.Fields{"leading": leading, "term": c.Lease.Term(), "store_away": c.Catalogue.ListUnavailable()})
	}
	return leading, mayContinue
}

// checkFleet starts the checks of the members of a service's groups that are due, and
// returns the fleet, corrected by what the upstreams report.
func (c *Conductor) checkFleet(ctx context.Context, now time.Time, fleet *cataloguer.Fleet, service string) *cataloguer.Fleet {
	known := c.withReports(now, c.withUnlisted(now, c.withLaterReports(fleet), service), service)
	c.checkMembers(ctx, now, known, service)
	return known
}

// postResult passes a result to Run's goroutine, which calls f.
func (c *Conductor) postResult(ctx context.Context, f func(now time.Time)) {
	select {
	case c.results <- f:
	case <-ctx.Done():
	}
}
