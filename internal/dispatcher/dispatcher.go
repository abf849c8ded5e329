package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/queuer"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Errors of Acquire; the request was not run.
var (
	// ErrQueueFull says that too many requests wait.
	ErrQueueFull = errors.New("queue is full")
	// ErrNoReplica says that no replica that could serve the request turned up
	// in time.
	ErrNoReplica = errors.New("no replica can serve the model")
	// ErrBusy says that the replicas had no room in time.
	ErrBusy = errors.New("all replicas are busy")
	// ErrClosed says that the dispatcher was closed.
	ErrClosed = errors.New("dispatcher is closed")
)

// _reviewInterval is how often waiting requests are looked at when nothing
// else happens.
const _reviewInterval = 20 * time.Millisecond

// Configuration gives the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// Placements gives the view of placements.
type Placements interface {
	View() watcher.View
}

// Evidence says what probes found.
type Evidence interface {
	Confirmed(r *wire.Replica) time.Time
	Leaving(r *wire.Replica) bool
	Evidence(instance string) prober.Evidence
}

// Meter measures waits.
type Meter interface {
	Waited(d time.Duration)
}

// Request is a request that needs a place.
type Request struct {
	ID           string // for the decision log
	Organisation string
	Model        string
	Long         bool
	// Cost is the predicted work in tokens.
	Cost int
	// Tried holds replicas that refused or broke this request before.
	Tried map[string]bool
	// Deadline is when waiting ends.
	Deadline time.Time
}

// Place is a place in a replica; Release it.
type Place struct {
	replica *wire.Replica
	long    bool
	owner   *Dispatcher
}

// Replica returns the replica. Callers must not change it.
func (p *Place) Replica() *wire.Replica { return p.replica }

// Release gives the place back. Call it once.
func (p *Place) Release() {
	p.owner.tell(func() { p.owner.count(p.replica.GetName(), p.long, -1) })
}

// answer is what a waiting request receives.
type answer struct {
	place *Place
	err   error
}

// waiting is a request in the queue.
type waiting struct {
	request Request
	arrived time.Time
	reply   chan answer
	reason  router.Reason
	usable  int
}

// used is the work that this entry has in a replica.
type used struct {
	all, long int
}

// Dispatcher owns the queue. Make it with New, start it with Run.
type Dispatcher struct {
	// Meter may be nil. Set it before Run.
	Meter Meter

	dataCentre    string
	configuration Configuration
	placements    Placements
	evidence      Evidence
	log           logger.Logger

	events chan func()
	done   chan struct{}
	once   sync.Once

	queued   atomic.Int64
	inFlight atomic.Int64

	// What follows belongs to Run's goroutine.
	queue   queuer.Queuer
	waiting map[uint64]*waiting
	nextID  uint64
	used    map[string]used
}

// New returns a Dispatcher for the entries of a data centre.
func New(dataCentre string, c Configuration, p Placements, e Evidence, log logger.Logger) *Dispatcher {
	return &Dispatcher{
		dataCentre: dataCentre, configuration: c, placements: p, evidence: e, log: log,
		events: make(chan func()), done: make(chan struct{}),
		waiting: make(map[uint64]*waiting), used: make(map[string]used),
	}
}

// Waiting returns how many requests wait.
func (d *Dispatcher) Waiting() int64 { return d.queued.Load() }

// InFlight returns how many requests hold a place.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// Run owns the queue until ctx ends; then every waiting request is refused.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(_reviewInterval)
	defer ticker.Stop()
	defer d.once.Do(func() { close(d.done) })
	for {
		select {
		case <-ctx.Done():
			for id := range d.waiting {
				d.reply(id, answer{err: ErrClosed})
			}
			return
		case f := <-d.events:
			f()
		case <-ticker.C:
		}
		d.review()
		d.queued.Store(int64(len(d.waiting)))
	}
}

// tell runs f on the control goroutine.
func (d *Dispatcher) tell(f func()) bool {
	select {
	case d.events <- f:
		return true
	case <-d.done:
		return false
	}
}

// Acquire waits for a place. The error is one of this package's, or ctx's.
func (d *Dispatcher) Acquire(ctx context.Context, q Request) (*Place, error) {
	reply := make(chan answer, 1)
	var id uint64
	if !d.tell(func() { id = d.enqueue(q, reply) }) {
		return nil, fmt.Errorf("dispatcher: queue %s: %w", q.ID, ErrClosed)
	}
	select {
	case a := <-reply:
		return a.place, a.err
	case <-ctx.Done():
	}
	d.tell(func() {
		d.queue.Remove(id)
		delete(d.waiting, id)
	})
	// The place may have been given at the same moment.
	select {
	case a := <-reply:
		if a.place != nil {
			a.place.Release()
		}
	default:
	}
	return nil, fmt.Errorf("dispatcher: queue %s: %w", q.ID, context.Cause(ctx))
}

func (d *Dispatcher) enqueue(q Request, reply chan answer) uint64 {
	document := d.configuration.Current().Document()
	if d.queue.Len() >= document.Policy.QueueLimit() {
		reply <- answer{err: fmt.Errorf("dispatcher: queue %s: %w", q.ID, ErrQueueFull)}
		return 0
	}
	d.nextID++
	now := time.Now()
	d.waiting[d.nextID] = &waiting{request: q, arrived: now, reply: reply}
	d.queue.Push(queuer.Item{
		ID: d.nextID, Organisation: q.Organisation, Weight: document.Organisations[q.Organisation].Share(),
		Long: q.Long, Cost: q.Cost, Arrived: now,
	})
	return d.nextID
}

func (d *Dispatcher) reply(id uint64, a answer) {
	w := d.waiting[id]
	delete(d.waiting, id)
	d.queue.Remove(id)
	w.reply <- a
}

// review gives out places and ends waits that are over.
func (d *Dispatcher) review() {
	now := time.Now()
	document := d.configuration.Current().Document()
	r := router.Router{
		DataCentre: d.dataCentre, EvidenceLimit: document.Policy.EvidenceLimit(), LongShare: document.Policy.LongShare(),
	}
	for {
		var chosen router.Candidate
		var why router.Decision
		item, ok := d.queue.Next(now, func(i queuer.Item) bool {
			w := d.waiting[i.ID]
			why = r.Route(router.Request{Long: w.request.Long, Tried: w.request.Tried}, d.candidates(document, w.request), now)
			w.reason, w.usable = why.Reason, why.Usable
			if why.Chosen == nil {
				return false
			}
			chosen = *why.Chosen
			return true
		})
		if !ok {
			break
		}
		d.give(item.ID, chosen, why, now)
	}
	for id, w := range d.waiting {
		if !now.Before(w.request.Deadline) {
			d.reply(id, answer{err: d.expired(w)})
		}
	}
}

func (d *Dispatcher) expired(w *waiting) error {
	err := ErrBusy
	if w.usable == 0 {
		err = ErrNoReplica
	}
	return fmt.Errorf("dispatcher: route %s: %w: %s", w.request.ID, err, w.reason)
}

func (d *Dispatcher) give(id uint64, c router.Candidate, why router.Decision, now time.Time) {
	w := d.waiting[id]
	d.count(c.Replica.GetName(), w.request.Long, 1)
	if d.Meter != nil {
		d.Meter.Waited(now.Sub(w.arrived))
	}
	d.log.Event("route", logger.Fields{
		"request": w.request.ID, "organisation": w.request.Organisation, "model": w.request.Model,
		"upstream": c.Replica.GetMembers()[0], "replica": c.Replica.GetName(), "group": c.Replica.GetGroup(),
		"generation": c.Replica.GetGeneration(), "reason": why.Reason, "candidates": why.Usable,
		"wait_ms": now.Sub(w.arrived).Milliseconds(), "long": w.request.Long,
	})
	d.reply(id, answer{place: &Place{replica: c.Replica, long: w.request.Long, owner: d}})
}

func (d *Dispatcher) count(replica string, long bool, by int) {
	u := d.used[replica]
	u.all += by
	d.inFlight.Add(int64(by))
	if long {
		u.long += by
	}
	d.used[replica] = u
	if u.all == 0 {
		delete(d.used, replica)
	}
}

// candidates returns the replicas that may serve the request, in a fixed order.
func (d *Dispatcher) candidates(document validator.Document, q Request) []router.Candidate {
	var out []router.Candidate
	view := d.placements.View()
	for _, k := range slices.Sorted(maps.Keys(view.Placements())) {
		p := view.Placements()[k]
		for _, x := range p.GetReplicas() {
			if x.GetModel() == q.Model && allowed(document, x.GetGroup(), q.Organisation) {
				out = append(out, d.candidate(document, view, p, x))
			}
		}
	}
	return out
}

func (d *Dispatcher) candidate(document validator.Document, view watcher.View, p *wire.Placement, x *wire.Replica) router.Candidate {
	u := d.used[x.GetName()]
	leader := d.evidence.Evidence(x.GetMembers()[0]).Status()
	c := router.Candidate{
		Replica: x, DataCentre: p.GetDataCentre(), Confirmed: d.evidence.Confirmed(x), Leaving: d.evidence.Leaving(x),
		Reported: int(leader.InFlight + leader.Queued), Local: u.all, LocalLong: u.long,
	}
	for _, m := range x.GetMembers() {
		if view.Instances()[m].Leaving || document.Instances[m].Draining {
			c.Leaving = true
		}
	}
	return c
}

func allowed(document validator.Document, group, organisation string) bool {
	g, ok := document.Groups[group]
	return ok && (len(g.Organisations) == 0 || slices.Contains(g.Organisations, organisation))
}
