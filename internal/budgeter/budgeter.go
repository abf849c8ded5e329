package budgeter

import (
	"sync"
	"time"
)

// _slices is the number of parts of a window; counts are kept for each.
const _slices = 10

// Budget is the bound for the second sends to each service: in each window, Ratio
// times the requests, plus Slack. Set its fields before use. It is safe for
// concurrent use.
type Budget struct {
	Window time.Duration
	Ratio  float64
	// Slack is this process's part of the sends allowed besides.
	Slack float64

	mu       sync.Mutex
	services map[string]*account
}

type account struct {
	slice    int64
	requests [_slices]int
	sends    [_slices]int
}

// Configure changes the bound. Counts made under another window are dropped.
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
	a := b.at(service, now)
	a.requests[a.slice%_slices]++
}

// Spend says whether one more request may be sent a second time, and counts it.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.at(service, now)
	if !b.left(a) {
		return false
	}
	a.sends[a.slice%_slices]++
	return true
}

// CanSpend says whether Spend would.
func (b *Budget) CanSpend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.at(service, now))
}

func (b *Budget) left(a *account) bool {
	requests, sends := 0, 0
	for i := range _slices {
		requests += a.requests[i]
		sends += a.sends[i]
	}
	return float64(sends+1) <= b.Ratio*float64(requests)+b.Slack
}

// at returns a service's account with the counts that are too old removed; the
// lock is held.
func (b *Budget) at(service string, now time.Time) *account {
	a := b.services[service]
	slice := now.UnixNano() / int64(max(b.Window, _slices)/_slices)
	if a == nil {
		if b.services == nil {
			b.services = make(map[string]*account)
		}
		a = &account{slice: slice}
		b.services[service] = a
	}
	for n := 0; a.slice < slice && n < _slices; n++ {
		a.slice++
		a.requests[a.slice%_slices], a.sends[a.slice%_slices] = 0, 0
	}
	a.slice = max(a.slice, slice)
	return a
}
