package relayer

import (
	"math"
	"sync"
	"time"
)

// _loadMemory is the time over which the mean of the load fades.
const _loadMemory = 10 * time.Second

// load is a fading mean of the requests a second. The zero value is ready for
// use.
type load struct {
	// memory is the time over which the mean fades; 0 means _loadMemory.
	memory time.Duration

	mu    sync.Mutex
	mean  float64
	since time.Time
}

// count notes a request.
func (l *load) count(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(now)
	l.mean += 1 / l.fading().Seconds()
}

// rate returns the mean.
func (l *load) rate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(now)
	return l.mean
}

func (l *load) fade(now time.Time) {
	if passed := now.Sub(l.since); passed > 0 {
		l.mean *= math.Exp(-passed.Seconds() / l.fading().Seconds())
		l.since = now
	}
}

func (l *load) fading() time.Duration {
	if l.memory > 0 {
		return l.memory
	}
	return _loadMemory
}
