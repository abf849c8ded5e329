package main

import (
	"math/rand/v2"
	"time"
)

// policy decides for all entries.
type policy interface {
	arrive(r *request)
}

// choose picks an engine for a request.
type choose func(b *direct, entry int) int

// direct sends each request to an engine at once, and refuses it after three
// full engines.
type direct struct {
	run    *run
	choose choose
	random *rand.Rand
	turn   [_entries]int
	local  [_entries][_replicas]int
}

func (b *direct) arrive(r *request) {
	const attempts = 3
	for range attempts {
		i := b.choose(b, r.entry)
		entry := r.entry
		b.local[entry][i]++
		w := &work{request: r, end: func() { b.local[entry][i]-- }}
		if b.run.engines[i].accept(w) {
			return
		}
		b.local[entry][i]--
	}
	b.run.refuse(r, time.Second)
}

func chooseRandom(b *direct, _ int) int { return b.random.IntN(_replicas) }

func chooseRound(b *direct, entry int) int {
	b.turn[entry]++
	return (b.turn[entry] + entry*3) % _replicas
}

func chooseLeast(b *direct, entry int) int {
	best := b.random.IntN(_replicas)
	for i, n := range b.local[entry] {
		if n < b.local[entry][best] {
			best = i
		}
	}
	return best
}

// first serves in the order of arrival and refuses nothing: one queue an entry,
// each dispatching while an engine's reported or own load leaves a free slot.
type first struct {
	run     *run
	waiting [_entries][]*request
	local   [_entries][_replicas]int
}

func (f *first) arrive(r *request) {
	f.waiting[r.entry] = append(f.waiting[r.entry], r)
	f.review(r.entry)
}

func (f *first) review(entry int) {
	for len(f.waiting[entry]) > 0 {
		best, load := -1, _slots
		for i, e := range f.run.engines {
			if n := max(e.reported, f.local[entry][i]); n < load {
				best, load = i, n
			}
		}
		if best < 0 || !f.send(entry, best, f.waiting[entry][0]) {
			return
		}
		f.waiting[entry] = f.waiting[entry][1:]
	}
}

func (f *first) send(entry, i int, r *request) bool {
	f.local[entry][i]++
	w := &work{request: r, end: func() {
		f.local[entry][i]--
		f.run.clock.after(0, func() { f.review(entry) })
	}}
	if f.run.engines[i].accept(w) {
		return true
	}
	f.local[entry][i]--
	return false
}
