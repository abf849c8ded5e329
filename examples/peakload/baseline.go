package main

import (
	"math/rand/v2"
	"time"
)

// policy decides for all entries which engine gets a request and when.
type policy interface {
	// arrive handles a request that has arrived at its entry.
	arrive(r *request)
}

// selectEngine returns the index of the engine for a request at an entry.
type selectEngine func(d *direct, entry int) int

// direct is a policy without queues: it sends each request to an engine on arrival,
// and refuses it once engines have refused it three times.
type direct struct {
	run          *run
	selectEngine selectEngine
	random       *rand.Rand
	// turns counts the round-robin selections of each entry, and inFlight the requests
	// that it has in flight at each engine.
	turns    [_entries]int
	inFlight [_entries][_replicas]int
}

func (d *direct) arrive(r *request) {
	const maxAttempts = 3
	for range maxAttempts {
		i := d.selectEngine(d, r.entry)
		entry := r.entry
		d.inFlight[entry][i]++
		j := &job{request: r, onEnd: func() { d.inFlight[entry][i]-- }}
		if d.run.engines[i].accept(j) {
			return
		}
		d.inFlight[entry][i]--
	}
	d.run.refuse(r, time.Second)
}

// selectRandom selects a random engine.
func selectRandom(d *direct, _ int) int { return d.random.IntN(_replicas) }

// selectRoundRobin selects the engines in turn; each entry starts at another one.
func selectRoundRobin(d *direct, entry int) int {
	d.turns[entry]++
	return (d.turns[entry] + entry*3) % _replicas
}

// selectLeastInFlight selects an engine at which this entry has the fewest requests in
// flight.
func selectLeastInFlight(d *direct, entry int) int {
	best := d.random.IntN(_replicas)
	for i, n := range d.inFlight[entry] {
		if n < d.inFlight[entry][best] {
			best = i
		}
	}
	return best
}

// firstCome is a policy that serves requests in the order of arrival and refuses none.
// Each entry has a queue, and sends requests while there is an engine of which both the
// reported load and the entry's own load there leave a slot free.
type firstCome struct {
	run      *run
	waiting  [_entries][]*request
	inFlight [_entries][_replicas]int
}

func (f *firstCome) arrive(r *request) {
	f.waiting[r.entry] = append(f.waiting[r.entry], r)
	f.dispatch(r.entry)
}

// dispatch sends the requests that wait at an entry while engines have free slots.
func (f *firstCome) dispatch(entry int) {
	for len(f.waiting[entry]) > 0 {
		best, load := -1, _slots
		for i, e := range f.run.engines {
			if n := max(e.reported, f.inFlight[entry][i]); n < load {
				best, load = i, n
			}
		}
		if best < 0 || !f.send(entry, best, f.waiting[entry][0]) {
			return
		}
		f.waiting[entry] = f.waiting[entry][1:]
	}
}

// send sends a request to engine i, and reports whether the engine accepted it.
func (f *firstCome) send(entry, i int, r *request) bool {
	f.inFlight[entry][i]++
	j := &job{request: r, onEnd: func() {
		f.inFlight[entry][i]--
		f.run.clock.after(0, func() { f.dispatch(entry) })
	}}
	if f.run.engines[i].accept(j) {
		return true
	}
	f.inFlight[entry][i]--
	return false
}
