package main

import (
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// _reportInterval is the time between two load reports of an engine.
	_reportInterval = 100 * time.Millisecond
	// _callerTries is how often a caller sends a request that is refused.
	_callerTries = 3
)

// run is one run of a workload under a policy.
type run struct {
	clock   clock
	tally   tally
	engines []*engine
	policy  policy
	random  *rand.Rand
}

var _policies = []struct {
	name string
	make func(r *run) policy
}{
	{"random", func(r *run) policy { return &direct{run: r, choose: chooseRandom, random: r.random} }},
	{"round-robin", func(r *run) policy { return &direct{run: r, choose: chooseRound, random: r.random} }},
	{"least-in-flight", func(r *run) policy { return &direct{run: r, choose: chooseLeast, random: r.random} }},
	{"first-come", func(r *run) policy { return &first{run: r} }},
	{"lycheebarrow", func(r *run) policy { return newProduct(r) }},
}

// measure runs a workload under a policy and returns its tally.
func measure(w workload, crest float64, seed uint64, build func(r *run) policy) *tally {
	r := &run{random: rand.New(rand.NewPCG(seed, 2))}
	r.tally.workload = w
	for i := range _replicas {
		r.engines = append(r.engines, &engine{clock: &r.clock, tally: &r.tally, name: "r" + strconv.Itoa(i)})
	}
	r.policy = build(r)
	r.clock.after(0, r.report)
	for _, q := range w.requests(seed, crest) {
		r.clock.after(q.sent, func() { r.policy.arrive(q) })
		if r.tally.inCrest(q.sent) {
			r.tally.requests = append(r.tally.requests, q)
		}
	}
	r.clock.run(_warmUp + _crest + _coolDown)
	return &r.tally
}

func (r *run) report() {
	for _, e := range r.engines {
		e.report(_reportInterval)
	}
	r.clock.after(_reportInterval, r.report)
}

func (r *run) engine(name string) *engine {
	i, _ := strconv.Atoi(name[1:])
	return r.engines[i]
}

// refuse answers a caller, who sends the request again after the hint and a
// little more, at any entry.
func (r *run) refuse(q *request, hint time.Duration) {
	q.tries++
	q.refused = true
	if q.tries >= _callerTries {
		return
	}
	late := time.Duration(r.random.Int64N(int64(200 * time.Millisecond)))
	r.clock.after(hint+late, func() {
		q.refused = false
		q.sent = r.clock.now
		q.entry = r.random.IntN(_entries)
		r.policy.arrive(q)
	})
}
