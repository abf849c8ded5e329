package admitter

import (
	"sync"
	"time"
)

const (
	// _firstAttemptFraction is a fraction of the longest time that callers of a route
	// were willing to wait lately. A request whose caller waits at least that long
	// counts as the caller's first attempt, since a retry has less time left.
	_firstAttemptFraction = 0.97
	// _attemptWindow is the time after which the longest wait begins to be forgotten, so
	// that callers who all wait less than before are not taken for returning ones.
	_attemptWindow = 30 * time.Second
)

// Attempts tells first attempts from returning requests on one route, whose callers
// wait for much the same time. The routes of a model differ in that time, so each has
// its own Attempts. The zero value is ready for use. It is safe for concurrent use.
type Attempts struct {
	mu sync.Mutex
	// longest is the longest wait since windowStart, and previous that of the window
	// before.
	longest, previous time.Duration
	windowStart       time.Time
}

// IsReturning reports whether a request whose caller waits for left is returning. It
// records left.
func (a *Attempts) IsReturning(now time.Time, left time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch passed := now.Sub(a.windowStart); {
	case passed >= 2*_attemptWindow:
		a.longest, a.previous, a.windowStart = 0, 0, now
	case passed >= _attemptWindow:
		a.longest, a.previous, a.windowStart = 0, a.longest, now
	}
	a.longest = max(a.longest, left)
	return float64(left) < _firstAttemptFraction*float64(max(a.longest, a.previous))
}
