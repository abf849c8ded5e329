package relayer

import (
	"math"
	"sync"
	"time"
)

// _rateMemory is the default time constant of a rateMeter.
const _rateMemory = 10 * time.Second

// rateMeter measures requests per second as a moving average whose weights decay
// exponentially. The zero value is ready for use.
type rateMeter struct {
	// memory is the time in which the weight of a request decays to 1/e; 0 means
	// _rateMemory.
	memory time.Duration

	mu sync.Mutex
	// mean is in requests per second, as of the time decayedAt.
	mean      float64
	decayedAt time.Time
}

// count adds a request.
func (l *rateMeter) count(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.mean += 1 / l.timeConstant().Seconds()
}

// rate returns the requests per second.
func (l *rateMeter) rate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	return l.mean
}

// decay lowers the mean by the time since its latest change. The caller holds
// l.mu.
func (l *rateMeter) decay(now time.Time) {
	if passed := now.Sub(l.decayedAt); passed > 0 {
		l.mean *= math.Exp(-passed.Seconds() / l.timeConstant().Seconds())
		l.decayedAt = now
	}
}

// timeConstant returns the time in which the weight of a request decays to 1/e.
func (l *rateMeter) timeConstant() time.Duration {
	if l.memory > 0 {
		return l.memory
	}
	return _rateMemory
}
