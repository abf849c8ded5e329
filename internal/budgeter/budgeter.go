package budgeter

import (
	"sync"
	"time"
)

const (
	// _slicesPerWindow is the number of equal slices of time into which a window is
	// divided. Requests and retries are counted per slice.
	_slicesPerWindow = 40
	// _lateSlices is the number of slices within which a retry reaches its upstream: a
	// connection may have to be opened first.
	_lateSlices = 2
)

// Budget limits the retries of requests to each service. In each window, wherever it
// begins, their number is at most Slack, plus Ratio times the number of requests of that
// window, of the one before it or of the one half a window before it, whichever has most.
// Set its fields before use. It is safe for concurrent use.
type Budget struct {
	// Window is the length of the windows in which requests and retries are counted.
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
	b.currentCounters(service, now).current().requests++
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
	c.current().retries++
	return true
}

// CanSpend returns whether the budget allows a retry now, without counting one.
func (b *Budget) CanSpend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canSpend(b.currentCounters(service, now), now)
}

// canSpend checks each window that a retry made now will be in. Requests to come are not
// known, so they count as none.
func (b *Budget) canSpend(c *counters, now time.Time) bool {
	slack := 0.0
	if !now.Before(b.SlackFrom) {
		slack = b.Slack
	}
	retries := 1
	for oldest := c.latest; oldest >= c.latest-_slicesPerWindow-_lateSlices; oldest-- {
		retries += c.at(oldest).retries
		// The retries since that slice are in the windows that end in this one.
		end := oldest + _lateSlices + _slicesPerWindow
		if float64(retries) > slack+b.Ratio*float64(c.mostRequests(end)) {
			return false
		}
	}
	return true
}

// currentCounters returns the counters of a service, with the slice of now as the latest
// one. The caller holds b.mu.
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
		c = &counters{latest: slice}
		b.services[service] = c
	}
	c.advance(slice)
	return c
}
