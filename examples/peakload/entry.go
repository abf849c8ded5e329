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
	// _networkDelay is the time that a message takes from an entry to an engine or back.
	_networkDelay = 500 * time.Microsecond
	// _scheduleInterval is the time between two scheduling passes of an entry.
	_scheduleInterval = 20 * time.Millisecond
	_model            = "drafts"
)

// schedulerPolicy is the policy of lycheebarrow itself: each entry has its scheduler.
type schedulerPolicy struct {
	run      *run
	replicas []*wire.Replica
	entries  [_entries]*entry
}

// entry is one entry with its scheduler.
type entry struct {
	policy    *schedulerPolicy
	scheduler scheduler.Scheduler
	requests  map[uint64]*request // in the queue, by the scheduler's id
}

func newSchedulerPolicy(r *run) *schedulerPolicy {
	p := &schedulerPolicy{run: r}
	for i := range r.engines {
		p.replicas = append(p.replicas, &wire.Replica{
			Name: r.engines[i].name, Group: "drafts", Model: _model, Generation: 1, Slots: _slots,
			State: wire.ReplicaState_REPLICA_STATE_SERVING,
		})
	}
	var defaults validator.Policy
	for i := range p.entries {
		e := &entry{policy: p, requests: make(map[uint64]*request)}
		e.scheduler.Router = router.Router{DataCentre: dataCentre(i), EvidenceLimit: time.Hour, LongShare: defaults.LongShare(), Entries: _entries, Salt: uint64(i)}
		e.scheduler.QueueLimit = defaults.QueueLimit()
		e.scheduler.Estimator.LongTokens = defaults.LongThreshold()
		e.scheduler.ShortWait, e.scheduler.LongWait = defaults.FirstTokenTarget(), defaults.LongWait()
		p.entries[i] = e
		r.clock.after(time.Duration(i)*time.Millisecond, e.tick)
	}
	return p
}

// dataCentre returns the data centre of an entry or a replica.
func dataCentre(i int) string { return "dc" + strconv.Itoa(i%_dataCentres) }

func (p *schedulerPolicy) arrive(r *request) { p.entries[r.entry].arrive(r) }

func (e *entry) arrive(r *request) {
	now := e.policy.run.clock.time()
	q := scheduler.Request{
		Organisation: strconv.Itoa(r.organisation), Model: _model, MaxTokens: r.maxTokens,
	}
	id, err := e.scheduler.Add(q, now)
	if err != nil {
		e.policy.run.refuse(r, retryAfter(err))
		return
	}
	e.requests[id] = r
	e.schedule()
}

// tick makes a scheduling pass, now and after every schedule interval.
func (e *entry) tick() {
	e.schedule()
	e.policy.run.clock.after(_scheduleInterval, e.tick)
}

// schedule makes a scheduling pass, and sends or refuses the requests that it takes from
// the queue.
func (e *entry) schedule() {
	for _, o := range e.scheduler.Schedule(e.policy.run.clock.time(), e.candidates) {
		r := e.requests[o.ID()]
		delete(e.requests, o.ID())
		if o.Err() == nil {
			e.policy.run.clock.after(_networkDelay, func() { e.send(o, r) })
			continue
		}
		e.policy.run.refuse(r, retryAfter(o.Err()))
	}
}

// send sends a request to the engine that the scheduler has chosen.
func (e *entry) send(o scheduler.Outcome, r *request) {
	priority := 0
	if o.Long() {
		priority = 1
	}
	j := &job{request: r, priority: priority, onLong: func() { e.scheduler.ReportTokens(o.ID(), _longTokens) }, onEnd: func() {
		e.policy.run.clock.after(_networkDelay, func() {
			e.scheduler.Release(o.ID(), r.tokens, e.policy.run.clock.time())
			e.schedule()
		})
	}}
	if !e.policy.run.engine(o.Chosen().Replica.GetName()).accept(j) {
		e.scheduler.ReleaseRefused(o.ID(), e.policy.run.clock.time())
		e.requeue(o.Request(), r)
	}
}

// requeue puts a request that an engine refused back in the queue, at the position that
// it had.
func (e *entry) requeue(q scheduler.Request, r *request) {
	q.Requeued = true
	id, err := e.scheduler.Add(q, e.policy.run.clock.time())
	if err != nil {
		e.policy.run.refuse(r, retryAfter(err))
		return
	}
	e.requests[id] = r
}

// retryAfter returns how long the caller of a refused request is asked to wait.
func retryAfter(err error) time.Duration {
	var refused *scheduler.RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter()
	}
	const noReplicaDelay = 5 * time.Second
	return noReplicaDelay
}

// candidates returns all replicas with their reported loads; it is a
// scheduler.CandidateFunc.
func (e *entry) candidates(string, string) []router.Candidate {
	out := make([]router.Candidate, len(e.policy.replicas))
	now := e.policy.run.clock.time()
	for i, r := range e.policy.replicas {
		out[i] = router.Candidate{
			Replica: r, DataCentre: dataCentre(i), Confirmed: now, ReportedLoad: e.policy.run.engines[i].reported,
			ReportedAt: time.Unix(0, 0).Add(e.policy.run.engines[i].reportedAt),
		}
	}
	return out
}
