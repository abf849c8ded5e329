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
func (m *rateMeter) count(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.mean += 1 / m.timeConstant().Seconds()
}

// rate returns the requests per second.
func (m *rateMeter) rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.mean
}

// decay lowers the mean by the time since its latest change. The caller holds
// m.mu.
func (m *rateMeter) decay(now time.Time) {
	if passed := now.Sub(m.decayedAt); passed > 0 {
		m.mean *= math.Exp(-passed.Seconds() / m.timeConstant().Seconds())
		m.decayedAt = now
	}
}

// timeConstant returns the time in which the weight of a request decays to 1/e.
func (m *rateMeter) timeConstant() time.Duration {
	if m.memory > 0 {
		return m.memory
	}
	return _rateMemory
}
