package admitter

import (
	"maps"
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

// RouteAttempts tells first attempts from returning requests. The callers of one route
// wait for much the same time, and those of another for a different one, so each route
// has its own record. The zero value is ready for use. It is safe for concurrent use.
type RouteAttempts struct {
	mu sync.Mutex
	// byRoute has the routes with requests in the last two windows, and some before.
	byRoute map[string]*attempts
}

// IsReturning reports whether a request on a route, whose caller waits for left, is
// returning. It records left.
func (a *RouteAttempts) IsReturning(route string, now time.Time, left time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byRoute == nil {
		a.byRoute = make(map[string]*attempts)
	}
	of := a.byRoute[route]
	if of == nil {
		of = &attempts{}
		maps.DeleteFunc(a.byRoute, func(_ string, o *attempts) bool { return o.isForgotten(now) })
		a.byRoute[route] = of
	}
	return of.isReturning(now, left)
}

// Routes returns how many routes are recorded.
func (a *RouteAttempts) Routes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byRoute)
}

// attempts is the record of one route.
type attempts struct {
	// longest is the longest wait since windowStart, and previous that of the window
	// before.
	longest, previous time.Duration
	windowStart       time.Time
}

func (a *attempts) isReturning(now time.Time, left time.Duration) bool {
	switch passed := now.Sub(a.windowStart); {
	case a.isForgotten(now):
		a.longest, a.previous, a.windowStart = 0, 0, now
	case passed >= _attemptWindow:
		a.longest, a.previous, a.windowStart = 0, a.longest, now
	}
	a.longest = max(a.longest, left)
	return float64(left) < _firstAttemptFraction*float64(max(a.longest, a.previous))
}

// isForgotten returns true if nothing recorded counts any more.
func (a *attempts) isForgotten(now time.Time) bool { return now.Sub(a.windowStart) >= 2*_attemptWindow }
