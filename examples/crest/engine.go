package main

import (
	"slices"
	"time"
)

// _queuePerSlot bounds the answers that wait in an engine, for each slot.
const _queuePerSlot = 2

// _cachedPrefixes is how many prompt prefixes an engine's cache holds.
const _cachedPrefixes = 12

// _cachedPart is the part of a prompt that its prefix holds.
const _cachedPart = 0.8

// work is an answer that an engine generates.
type work struct {
	request  *request
	priority int
	// token is called when the answer reaches _longTokens, end when it is whole.
	token, end func()
}

// engine is one replica's engine: slots that generate at a fixed rate, and a
// short queue before them.
type engine struct {
	clock   *clock
	tally   *tally
	name    string
	running int
	queue   []*work
	cache   []int // prefixes, the newest last
	// reported lags behind the load by one to two report intervals.
	reported, next int
	reportedAt     time.Duration
}

// accept takes work or refuses it because the queue is full.
func (e *engine) accept(w *work) bool {
	if e.running >= _slots && len(e.queue) >= _slots*_queuePerSlot {
		return false
	}
	if e.running >= _slots {
		at, _ := slices.BinarySearchFunc(e.queue, w, func(a, b *work) int {
			if a.priority <= b.priority {
				return -1
			}
			return 1
		})
		e.queue = slices.Insert(e.queue, at, w)
		return true
	}
	e.start(w)
	return true
}

func (e *engine) start(w *work) {
	e.running++
	r := w.request
	r.started = e.clock.now
	r.wait = r.started - r.sent
	prompt := float64(r.prompt)
	if e.cached(r.prefix) {
		prompt *= 1 - _cachedPart
	}
	r.first = e.clock.now + time.Duration(prompt)*_promptTime + _tokenTime
	end := r.first + time.Duration(r.tokens-1)*_tokenTime
	e.tally.generated(r, end)
	if r.tokens >= _longTokens && w.token != nil {
		e.clock.after(r.first+_longTokens*_tokenTime-e.clock.now, w.token)
	}
	e.clock.after(end-e.clock.now, func() {
		e.running--
		w.end()
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.start(next)
		}
	})
}

// cached says whether the prefix was in the cache, and puts it there.
func (e *engine) cached(prefix int) bool {
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

// report makes the load of the last interval visible to entries.
func (e *engine) report(interval time.Duration) {
	e.reported = e.next
	e.reportedAt = e.clock.now - interval
	e.next = e.running + len(e.queue)
}
