package main

import (
	"errors"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _hop is the time from an entry to an engine.
	_hop = 500 * time.Microsecond
	// _review is how often an entry looks at its queue.
	_review = 20 * time.Millisecond
	_model  = "drafts"
)

// product is the system's own decisions, one scheduler an entry.
type product struct {
	run      *run
	replicas []*wire.Replica
	entries  [_entries]*entry
}

// entry is one entry's decisions.
type entry struct {
	product   *product
	scheduler scheduler.Scheduler
	requests  map[uint64]*request
}

func newProduct(r *run) *product {
	p := &product{run: r}
	for i := range r.engines {
		p.replicas = append(p.replicas, &wire.Replica{
			Name: r.engines[i].name, Group: "drafts", Model: _model, Generation: 1, Slots: _slots,
			State: wire.ReplicaState_REPLICA_STATE_SERVING,
		})
	}
	var policy validator.Policy
	for i := range p.entries {
		e := &entry{product: p, requests: make(map[uint64]*request)}
		e.scheduler.Router = router.Router{DataCentre: dataCentre(i), EvidenceLimit: time.Hour, LongShare: policy.LongShare(), Entries: _entries, Salt: uint64(i)}
		e.scheduler.QueueLimit = policy.QueueLimit()
		e.scheduler.Estimator.LongTokens = policy.LongThreshold()
		e.scheduler.ShortWait, e.scheduler.LongWait = policy.FirstTokenTarget(), policy.LongWait()
		p.entries[i] = e
		r.clock.after(time.Duration(i)*time.Millisecond, e.tick)
	}
	return p
}

func dataCentre(i int) string { return "dc" + strconv.Itoa(i%_dataCentres) }

func (p *product) arrive(r *request) { p.entries[r.entry].arrive(r) }

func (e *entry) arrive(r *request) {
	now := e.product.run.clock.time()
	q := scheduler.Request{
		Organisation: strconv.Itoa(r.organisation), Model: _model, MaxTokens: r.limit,
	}
	id, err := e.scheduler.Add(q, now)
	if err != nil {
		e.product.run.refuse(r, hint(err))
		return
	}
	e.requests[id] = r
	e.review()
}

func (e *entry) tick() {
	e.review()
	e.product.run.clock.after(_review, e.tick)
}

func (e *entry) review() {
	for _, o := range e.scheduler.Schedule(e.product.run.clock.time(), e.view) {
		r := e.requests[o.ID()]
		delete(e.requests, o.ID())
		if o.Err() == nil {
			e.product.run.clock.after(_hop, func() { e.send(o, r) })
			continue
		}
		e.product.run.refuse(r, hint(o.Err()))
	}
}

func (e *entry) send(o scheduler.Outcome, r *request) {
	priority := 0
	if o.Long() {
		priority = 1
	}
	w := &work{request: r, priority: priority, token: func() { e.scheduler.ReportTokens(o.ID(), _longTokens) }, end: func() {
		e.product.run.clock.after(_hop, func() {
			e.scheduler.Release(o.ID(), r.tokens, e.product.run.clock.time())
			e.review()
		})
	}}
	if !e.product.run.engine(o.Chosen().Replica.GetName()).accept(w) {
		e.scheduler.ReleaseRefused(o.ID(), e.product.run.clock.time())
		e.again(o.Request(), r)
	}
}

// again queues a request that a full engine refused; it keeps its turn.
func (e *entry) again(q scheduler.Request, r *request) {
	q.Requeued = true
	id, err := e.scheduler.Add(q, e.product.run.clock.time())
	if err != nil {
		e.product.run.refuse(r, hint(err))
		return
	}
	e.requests[id] = r
}

// hint is the Retry-After of a refusal.
func hint(err error) time.Duration {
	var refused *scheduler.RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter()
	}
	const noReplica = 5 * time.Second
	return noReplica
}

func (e *entry) view(string, string) []router.Candidate {
	out := make([]router.Candidate, len(e.product.replicas))
	now := e.product.run.clock.time()
	for i, r := range e.product.replicas {
		out[i] = router.Candidate{
			Replica: r, DataCentre: dataCentre(i), Confirmed: now, ReportedLoad: e.product.run.engines[i].reported,
			ReportedAt: time.Unix(0, 0).Add(e.product.run.engines[i].reportedAt),
		}
	}
	return out
}
