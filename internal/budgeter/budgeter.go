package budgeter

import (
	"sync"
	"time"
)

// _slices is the number of parts into which a window is divided. Requests and
// retries are counted per slice, so that old counts are dropped one slice at a
// time.
const _slices = 10

// Budget limits the retries to each service: in each window, to Ratio times the
// number of requests, plus Slack. Set its fields before use. It is safe for
// concurrent use.
type Budget struct {
	Window time.Duration
	Ratio  float64
	// Slack is the number of retries per window that this process may make in
	// addition.
	Slack float64

	mu       sync.Mutex
	services map[string]*counters
}

// counters has the counts of one service for the latest slices. A slice is numbered
// by its time since the Unix epoch, and its counts are at its number modulo
// _slices.
type counters struct {
	slice    int64
	requests [_slices]int
	retries  [_slices]int
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

// RecordRequest counts a request of a caller for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.slice%_slices]++
}

// Spend counts a retry and returns true if the budget allows it. Otherwise it
// returns false and counts nothing.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	if !b.canSpend(w) {
		return false
	}
	w.retries[w.slice%_slices]++
	return true
}

// CanSpend returns whether the budget allows a retry now, without counting one.
func (b *Budget) CanSpend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canSpend(b.at(service, now))
}

func (b *Budget) canSpend(w *counters) bool {
	requests, retries := 0, 0
	for i := range _slices {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return float64(retries+1) <= b.Ratio*float64(requests)+b.Slack
}

// at returns the counters of a service for the window that ends at now, with older
// counts set to zero. The caller holds b.mu.
func (b *Budget) at(service string, now time.Time) *counters {
	w := b.services[service]
	slice := now.UnixNano() / int64(max(b.Window, _slices)/_slices)
	if w == nil {
		if b.services == nil {
			b.services = make(map[string]*counters)
		}
		w = &counters{slice: slice}
		b.services[service] = w
	}
	for n := 0; w.slice < slice && n < _slices; n++ {
		w.slice++
		w.requests[w.slice%_slices], w.retries[w.slice%_slices] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
