package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// ErrClosed says that the dispatcher was closed and the request was not run. The
// other errors of Acquire are those of package scheduler and the cause of the
// context.
var ErrClosed = errors.New("dispatcher is closed")

// _scheduleInterval is the time between scheduling passes when no event triggers
// one; there is no pass while the queue is empty.
const _scheduleInterval = 20 * time.Millisecond

// Configuration returns the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// Placements returns the current placements.
type Placements interface {
	View() placementtracker.View
}

// Evidence returns the results of the probes of the instances.
type Evidence interface {
	// Confirmed returns the latest time at which all members were seen ready;
	// zero if one is not ready.
	Confirmed(r *wire.Replica) time.Time
	// Leaving reports whether the latest status of a member says that it is
	// leaving.
	Leaving(r *wire.Replica) bool
	// Evidence returns the latest probe result of an instance.
	Evidence(instance string) prober.Evidence
}

// Meter records metrics of the queue.
type Meter interface {
	// ObserveQueueWait records how long a request waited for its slot.
	ObserveQueueWait(d time.Duration)
}

// result is the slot of a waiting request, or the reason why it got none.
type result struct {
	slot *Slot
	err  error
}

// Dispatcher owns the queue of an entry. Create it with New and start it with
// Run. It is safe for concurrent use.
type Dispatcher struct {
	// Meter may be nil. Set it before Run.
	Meter Meter
	// Salt differs between entries, so that they do not break ties between
	// replicas the same way. Set it before Run.
	Salt uint64

	dataCentre    string
	configuration Configuration
	placements    Placements
	evidence      Evidence
	log           logger.Logger

	events chan func()
	done   chan struct{}

	waiting  atomic.Int64
	inFlight atomic.Int64
	entries  atomic.Int64

	// The fields below are used only by the goroutine of Run.
	scheduler scheduler.Scheduler
	replies   map[uint64]chan result
}

// New returns a Dispatcher for an entry in a data centre.
func New(dataCentre string, c Configuration, p Placements, e Evidence, log logger.Logger) *Dispatcher {
	return &Dispatcher{
		dataCentre: dataCentre, configuration: c, placements: p, evidence: e, log: log,
		events: make(chan func()), done: make(chan struct{}), replies: make(map[uint64]chan result),
	}
}

// SetEntries sets how many entries share the replicas, this one included.
func (d *Dispatcher) SetEntries(count int) { d.entries.Store(int64(count)) }

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int64 { return d.waiting.Load() }

// InFlight returns the number of requests that hold a slot.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// Run serves the queue until ctx ends, then fails every waiting request with
// ErrClosed. Call it once.
func (d *Dispatcher) Run(ctx context.Context) {
	var due <-chan time.Time // nil while no request waits
	defer close(d.done)
	for {
		select {
		case <-ctx.Done():
			for _, reply := range d.replies {
				reply <- result{err: ErrClosed}
			}
			return
		case f := <-d.events:
			f()
		case <-due:
		}
		d.schedule()
		waiting := d.scheduler.Len()
		d.waiting.Store(int64(waiting))
		due = nil
		if waiting > 0 {
			due = time.After(_scheduleInterval)
		}
	}
}

// runInLoop hands f to the goroutine of Run and does not wait for f to finish. It
// returns false if Run has ended.
func (d *Dispatcher) runInLoop(f func()) bool {
	select {
	case d.events <- f:
		return true
	case <-d.done:
		return false
	}
}

// Acquire waits for a slot, which the caller must release once. It sets the
// weight of the request from the configuration of its organisation.
func (d *Dispatcher) Acquire(ctx context.Context, q scheduler.Request) (*Slot, error) {
	reply := make(chan result, 1)
	var id uint64
	if !d.runInLoop(func() { id = d.enqueue(q, reply) }) {
		return nil, fmt.Errorf("dispatcher: queue %s: %w", q.ID, ErrClosed)
	}
	select {
	case r := <-reply:
		return r.slot, r.err
	case <-ctx.Done():
	}
	d.runInLoop(func() {
		d.scheduler.Cancel(id)
		delete(d.replies, id)
	})
	// The slot may have been assigned just before the cancellation.
	select {
	case r := <-reply:
		if r.slot != nil {
			r.slot.Release(0)
		}
	default:
	}
	return nil, fmt.Errorf("dispatcher: queue %s: %w", q.ID, context.Cause(ctx))
}

// enqueue applies the current policy to the scheduler and queues the request. If
// the request is refused at once, the error goes to reply and the returned number
// is 0.
func (d *Dispatcher) enqueue(q scheduler.Request, reply chan result) uint64 {
	document := d.configuration.Current().Document()
	q.Weight = document.Organisations[q.Organisation].EffectiveWeight()
	d.scheduler.QueueLimit = document.Policy.QueueLimit()
	d.scheduler.Estimator.LongTokens = document.Policy.LongThreshold()
	d.scheduler.ShortWait, d.scheduler.LongWait = document.Policy.FirstTokenTarget(), document.Policy.LongWait()
	id, err := d.scheduler.Add(q, time.Now())
	if err != nil {
		reply <- result{err: fmt.Errorf("dispatcher: queue %s: %w", q.ID, err)}
		return 0
	}
	d.replies[id] = reply
	return id
}

// schedule runs a scheduling pass and sends each outcome to its request.
func (d *Dispatcher) schedule() {
	if d.scheduler.Len() == 0 {
		return
	}
	v := d.newView()
	d.scheduler.Router = router.Router{
		DataCentre: d.dataCentre, EvidenceLimit: v.document.Policy.EvidenceLimit(), LongShare: v.document.Policy.LongShare(),
		Entries: int(d.entries.Load()), Salt: d.Salt,
	}
	for _, o := range d.scheduler.Schedule(time.Now(), v.candidates) {
		reply := d.replies[o.ID()]
		delete(d.replies, o.ID())
		reply <- d.resultOf(o)
	}
}

// resultOf turns an outcome into a result. It counts and logs an assigned slot.
func (d *Dispatcher) resultOf(o scheduler.Outcome) result {
	q := o.Request()
	if o.Err() != nil {
		return result{err: fmt.Errorf("dispatcher: route %s: %w: %s", q.ID, o.Err(), o.Decision().Reason)}
	}
	d.inFlight.Add(1)
	if d.Meter != nil {
		d.Meter.ObserveQueueWait(o.Wait())
	}
	r := o.Chosen().Replica
	d.log.Event("route", logger.Fields{
		"request": q.ID, "organisation": q.Organisation, "model": q.Model,
		"upstream": r.GetMembers()[0], "replica": r.GetName(), "group": r.GetGroup(),
		"generation": r.GetGeneration(), "reason": o.Decision().Reason, "candidates": o.Decision().Usable,
		"wait_ms": o.Wait().Milliseconds(), "long": o.Long(),
	})
	return result{slot: &Slot{id: o.ID(), replica: r, long: o.Long(), dispatcher: d}}
}
