package budgeter

import (
	"sync"
	"time"
)

// _slicesPerWindow is the number of equal slices of time into which a window is
// divided. Requests and retries are counted per slice, so that old counts are dropped
// one slice at a time.
const _slicesPerWindow = 10

// Budget limits the retries of requests to each service: in each window, to Ratio
// times the number of requests, plus Slack. Set its fields before use. It is safe for
// concurrent use.
type Budget struct {
	// Window is the time, up to now, in which requests and retries are counted.
	Window time.Duration
	Ratio  float64
	// Slack is the number of retries per window that this process may make in
	// addition.
	Slack float64
	// SlackFrom is when Slack begins to count: an earlier run of this process may have
	// used its slack up to one window before. The zero time means at once.
	SlackFrom time.Time

	mu       sync.Mutex
	services map[string]*counters
	// countedFrom is when slice 0 began.
	countedFrom time.Time
}

// counters has the counts of one service for the latest slices. The counts of a slice
// are at its number modulo _slicesPerWindow.
type counters struct {
	latestSlice int64
	requests    [_slicesPerWindow]int
	retries     [_slicesPerWindow]int
}

// Configure changes the limit. If the window changes, all counts are dropped.
func (b *Budget) Configure(window time.Duration, ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window != b.Window {
		b.services = nil
	}
	b.Window, b.Ratio, b.Slack = window, ratio, slack
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounters(service, now)
	c.requests[c.latestSlice%_slicesPerWindow]++
}

// Spend counts a retry and returns true if the budget allows it. Otherwise it
// returns false and counts nothing.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounters(service, now)
	if !b.canSpend(c, now) {
		return false
	}
	c.retries[c.latestSlice%_slicesPerWindow]++
	return true
}

// CanSpend returns whether the budget allows a retry now, without counting one.
func (b *Budget) CanSpend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canSpend(b.currentCounters(service, now), now)
}

func (b *Budget) canSpend(c *counters, now time.Time) bool {
	requests, retries := 0, 0
	for i := range _slicesPerWindow {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	limit := b.Ratio * float64(requests)
	if !now.Before(b.SlackFrom) {
		limit += b.Slack
	}
	return float64(retries+1) <= limit
}

// currentCounters returns the counters of a service for the window that ends at now,
// with older counts set to zero. The caller holds b.mu.
func (b *Budget) currentCounters(service string, now time.Time) *counters {
	c := b.services[service]
	if b.countedFrom.IsZero() {
		b.countedFrom = now
	}
	// A difference of two times is not changed by a step of the clock.
	slice := max(int64(now.Sub(b.countedFrom)/(max(b.Window, _slicesPerWindow)/_slicesPerWindow)), 0)
	if c == nil {
		if b.services == nil {
			b.services = make(map[string]*counters)
		}
		c = &counters{latestSlice: slice}
		b.services[service] = c
	}
	for n := 0; c.latestSlice < slice && n < _slicesPerWindow; n++ {
		c.latestSlice++
		c.requests[c.latestSlice%_slicesPerWindow], c.retries[c.latestSlice%_slicesPerWindow] = 0, 0
	}
	c.latestSlice = max(c.latestSlice, slice)
	return c
}
