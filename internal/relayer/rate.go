package relayer

import (
	"math"
	"sync"
	"time"
)

// _defaultTimeConstant is the default time constant of a rateMeter.
const _defaultTimeConstant = 10 * time.Second

// rateMeter measures requests per second as a moving average whose weights decay
// exponentially. The zero value is ready for use.
type rateMeter struct {
	// timeConstant is the time in which the weight of a request decays to 1/e; 0 means
	// _defaultTimeConstant.
	timeConstant time.Duration

	mu sync.Mutex
	// mean is in requests per second, as of the time decayedAt.
	mean      float64
	decayedAt time.Time
}

// count adds a request.
func (m *rateMeter) count(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.mean += 1 / m.effectiveTimeConstant().Seconds()
}

// rate returns the requests per second.
func (m *rateMeter) rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.mean
}

// decay lowers the mean for the time since decayedAt. The caller holds m.mu.
func (m *rateMeter) decay(now time.Time) {
	if passed := now.Sub(m.decayedAt); passed > 0 {
		m.mean *= math.Exp(-passed.Seconds() / m.effectiveTimeConstant().Seconds())
		m.decayedAt = now
	}
}

// effectiveTimeConstant returns timeConstant, or _defaultTimeConstant if it is 0.
func (m *rateMeter) effectiveTimeConstant() time.Duration {
	if m.timeConstant > 0 {
		return m.timeConstant
	}
	return _defaultTimeConstant
}
