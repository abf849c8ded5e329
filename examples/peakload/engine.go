package main

import (
	"slices"
	"time"
)

// _queuePerSlot is the greatest length of an engine's queue, per slot.
const _queuePerSlot = 2

// _cachedPrefixes is the number of prompt prefixes that an engine's cache holds.
const _cachedPrefixes = 12

// _prefixFraction is the fraction of a prompt that its prefix makes up; an engine that
// has the prefix in its cache spends no time on it.
const _prefixFraction = 0.8

// job is an answer that an engine generates.
type job struct {
	request *request
	// priority is the priority in the engine's queue; the lowest goes first.
	priority int
	// onLong is called when the answer reaches _longTokens, onEnd when it is complete.
	onLong, onEnd func()
}

// engine models the engine of a replica: slots that generate at a fixed rate, and a
// short queue for them.
type engine struct {
	clock      *clock
	statistics *statistics
	name       string
	running    int
	queue      []*job
	cache      []int // prefixes, the most recently used last
	// reported is the load that entries see, which lags behind by one to two report
	// intervals; reportedAt is when that load was taken, and next the load to report next.
	reported, next int
	reportedAt     time.Duration
}

// accept starts or queues a job; false means that the queue is full.
func (e *engine) accept(j *job) bool {
	if e.running >= _slots && len(e.queue) >= _slots*_queuePerSlot {
		return false
	}
	if e.running >= _slots {
		at, _ := slices.BinarySearchFunc(e.queue, j, func(a, b *job) int {
			if a.priority <= b.priority {
				return -1
			}
			return 1
		})
		e.queue = slices.Insert(e.queue, at, j)
		return true
	}
	e.start(j)
	return true
}

// start generates the answer of a job in a free slot, and starts the next job of the
// queue once it is complete.
func (e *engine) start(j *job) {
	e.running++
	r := j.request
	r.started = e.clock.now
	r.wait = r.started - r.sent
	prompt := float64(r.promptTokens)
	if e.useCache(r.prefix) {
		prompt *= 1 - _prefixFraction
	}
	r.first = e.clock.now + time.Duration(prompt)*_promptTime + _tokenTime
	end := r.first + time.Duration(r.tokens-1)*_tokenTime
	e.statistics.recordGeneration(r, end)
	if r.tokens >= _longTokens && j.onLong != nil {
		e.clock.after(r.first+_longTokens*_tokenTime-e.clock.now, j.onLong)
	}
	e.clock.after(end-e.clock.now, func() {
		e.running--
		j.onEnd()
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.start(next)
		}
	})
}

// useCache reports whether a prefix is in the cache, and makes it the most recently used
// one.
func (e *engine) useCache(prefix int) bool {
	at := slices.Index(e.cache, prefix)
	if at >= 0 {
		e.cache = slices.Delete(e.cache, at, at+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > _cachedPrefixes {
		e.cache = e.cache[1:]
	}
	return at >= 0
}

// report makes the load at the previous report visible to entries, and measures the
// load for the next report.
func (e *engine) report(interval time.Duration) {
	e.reported = e.next
	e.reportedAt = e.clock.now - interval
	e.next = e.running + len(e.queue)
}
