package main

import (
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// _reportInterval is the time between two load reports of an engine.
	_reportInterval = 100 * time.Millisecond
	// _callerAttempts is how many times a caller sends a request at most while it is
	// refused.
	_callerAttempts = 3
)

// run is the simulation of a workload under a policy.
type run struct {
	clock      clock
	statistics statistics
	engines    []*engine
	policy     policy
	random     *rand.Rand
}

// _policies are the policies to compare, in the order of the table.
var _policies = []struct {
	name      string
	newPolicy func(r *run) policy
}{
	{"random", func(r *run) policy { return &direct{run: r, selectEngine: selectRandom, random: r.random} }},
	{"round-robin", func(r *run) policy { return &direct{run: r, selectEngine: selectRoundRobin, random: r.random} }},
	{"least-in-flight", func(r *run) policy { return &direct{run: r, selectEngine: selectLeastInFlight, random: r.random} }},
	{"first-come", func(r *run) policy { return &firstCome{run: r} }},
	{"lycheebarrow", func(r *run) policy { return newSchedulerPolicy(r) }},
}

// simulate runs a workload with a peak load of peak times the capacity under the policy
// that newPolicy returns, and returns the statistics of the run.
func simulate(w workload, peak float64, seed uint64, newPolicy func(r *run) policy) *statistics {
	r := &run{random: rand.New(rand.NewPCG(seed, 2))}
	r.statistics.workload = w
	for i := range _replicas {
		r.engines = append(r.engines, &engine{clock: &r.clock, statistics: &r.statistics, name: "r" + strconv.Itoa(i)})
	}
	r.policy = newPolicy(r)
	r.clock.after(0, r.report)
	for _, q := range w.requests(seed, peak) {
		r.clock.after(q.sent, func() { r.policy.arrive(q) })
		if r.statistics.inPeak(q.sent) {
			r.statistics.requests = append(r.statistics.requests, q)
		}
	}
	r.clock.run(_warmUp + _peakTime + _coolDown)
	return &r.statistics
}

// report lets every engine report its load, now and after every report interval.
func (r *run) report() {
	for _, e := range r.engines {
		e.report(_reportInterval)
	}
	r.clock.after(_reportInterval, r.report)
}

// engine returns the engine of that name.
func (r *run) engine(name string) *engine {
	i, _ := strconv.Atoi(name[1:])
	return r.engines[i]
}

// refuse refuses a request. Its caller sends it again to a random entry, after
// retryAfter and a random delay of up to 200 ms, unless that was the last attempt.
func (r *run) refuse(q *request, retryAfter time.Duration) {
	q.attempts++
	q.refused = true
	if q.attempts >= _callerAttempts {
		return
	}
	delay := time.Duration(r.random.Int64N(int64(200 * time.Millisecond)))
	r.clock.after(retryAfter+delay, func() {
		q.refused = false
		q.sent = r.clock.now
		q.entry = r.random.IntN(_entries)
		r.policy.arrive(q)
	})
}
