package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// ErrClosed says that the dispatcher was closed; the request was not run. The
// other errors of Acquire are those of package scheduler, or the context's.
var ErrClosed = errors.New("dispatcher is closed")

// _reviewInterval is how often waiting requests are looked at when nothing
// else happens; an empty queue is not looked at.
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

// answer is what a waiting request receives.
type answer struct {
	place *Slot
	err   error
}

// Dispatcher owns the queue of an entry. Make it with New, start it with Run.
// It is safe for concurrent use.
type Dispatcher struct {
	// Meter may be nil. Set it before Run.
	Meter Meter
	// Salt tells this entry from others. Set it before Run.
	Salt uint64

	dataCentre    string
	configuration Configuration
	placements    Placements
	evidence      Evidence
	log           logger.Logger

	events chan func()
	done   chan struct{}

	queued   atomic.Int64
	inFlight atomic.Int64
	entries  atomic.Int64

	// What follows belongs to Run's goroutine.
	scheduler scheduler.Scheduler
	replies   map[uint64]chan answer
}

// New returns a Dispatcher for the entries of a data centre.
func New(dataCentre string, c Configuration, p Placements, e Evidence, log logger.Logger) *Dispatcher {
	return &Dispatcher{
		dataCentre: dataCentre, configuration: c, placements: p, evidence: e, log: log,
		events: make(chan func()), done: make(chan struct{}), replies: make(map[uint64]chan answer),
	}
}

// SetEntries says how many entries share the replicas, this one included.
func (d *Dispatcher) SetEntries(count int) { d.entries.Store(int64(count)) }

// Waiting returns how many requests wait.
func (d *Dispatcher) Waiting() int64 { return d.queued.Load() }

// InFlight returns how many requests hold a place.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// Run owns the queue until ctx ends; then every waiting request is refused.
// Call it once.
func (d *Dispatcher) Run(ctx context.Context) {
	var due <-chan time.Time // nil while nothing waits
	defer close(d.done)
	for {
		select {
		case <-ctx.Done():
			for _, reply := range d.replies {
				reply <- answer{err: ErrClosed}
			}
			return
		case f := <-d.events:
			f()
		case <-due:
		}
		d.review()
		waiting := d.scheduler.Len()
		d.queued.Store(int64(waiting))
		due = nil
		if waiting > 0 {
			due = time.After(_reviewInterval)
		}
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

// Acquire waits for a place, which the caller must Release. The request's
// weight is the configured one of its organisation.
func (d *Dispatcher) Acquire(ctx context.Context, q scheduler.Request) (*Slot, error) {
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
		d.scheduler.Cancel(id)
		delete(d.replies, id)
	})
	// The place may have been given at the same moment.
	select {
	case a := <-reply:
		if a.place != nil {
			a.place.Release(0)
		}
	default:
	}
	return nil, fmt.Errorf("dispatcher: queue %s: %w", q.ID, context.Cause(ctx))
}

func (d *Dispatcher) enqueue(q scheduler.Request, reply chan answer) uint64 {
	document := d.configuration.Current().Document()
	q.Weight = document.Organisations[q.Organisation].EffectiveWeight()
	d.scheduler.QueueLimit = document.Policy.QueueLimit()
	d.scheduler.Estimator.LongTokens = document.Policy.LongThreshold()
	d.scheduler.ShortWait, d.scheduler.LongWait = document.Policy.FirstTokenTarget(), document.Policy.LongWait()
	id, err := d.scheduler.Add(q, time.Now())
	if err != nil {
		reply <- answer{err: fmt.Errorf("dispatcher: queue %s: %w", q.ID, err)}
		return 0
	}
	d.replies[id] = reply
	return id
}

// review gives out places and ends waits that are over.
func (d *Dispatcher) review() {
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
		reply <- d.answer(o)
	}
}

func (d *Dispatcher) answer(o scheduler.Outcome) answer {
	q := o.Request()
	if o.Err() != nil {
		return answer{err: fmt.Errorf("dispatcher: route %s: %w: %s", q.ID, o.Err(), o.Decision().Reason)}
	}
	d.inFlight.Add(1)
	if d.Meter != nil {
		d.Meter.Waited(o.Wait())
	}
	r := o.Chosen().Replica
	d.log.Event("route", logger.Fields{
		"request": q.ID, "organisation": q.Organisation, "model": q.Model,
		"upstream": r.GetMembers()[0], "replica": r.GetName(), "group": r.GetGroup(),
		"generation": r.GetGeneration(), "reason": o.Decision().Reason, "candidates": o.Decision().Usable,
		"wait_ms": o.Wait().Milliseconds(), "long": o.Long(),
	})
	return answer{place: &Slot{id: o.ID(), replica: r, long: o.Long(), owner: d}}
}
