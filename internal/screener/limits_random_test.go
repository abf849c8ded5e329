package screener_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

const (
	// The requests that may reach an upstream in _limitWindow, from _limitGrace after it
	// first stated its limit: the limit times _limitOverage, plus _limitSlack.
	_limitOverage = 1.5
	_limitSlack   = 5
	_limitWindow  = 4 * time.Second
	_limitGrace   = 3 * time.Second

	// _noticeTime is the time from when a process learns of a limit until its requests count.
	_noticeTime = 500 * time.Millisecond

	// _exchangeSteps is the longest delay of what processes tell each other.
	_exchangeSteps = int(600 * time.Millisecond / _step)
	// _responseSteps is the longest time until a response.
	_responseSteps = int(400 * time.Millisecond / _step)
	_limitSteps    = int(25 * time.Second / _step)
	// _maxSends is the number of requests that a process sends in a step at most.
	_maxSends = 10
	_endSteps = int(65 * time.Second / _step)
)

// limitedCrowd is a crowd of processes that send requests to one upstream, and tell each
// other of its limit.
type limitedCrowd struct {
	*crowd
	upstream cataloguer.Upstream
	// rate is the limit that the upstream states; negative if it states none.
	rate float64
	// told holds the newest evidence of all processes, at each step.
	told []screener.LimitNotice
	// responses holds the responses on the way, by step.
	responses map[int][]response
	// knownFrom is when each process learned of the limit since its start, for those that
	// run and have.
	knownFrom map[*screener.Screener]time.Time
	// arrivals are the requests of processes that have known the limit for _noticeTime, and
	// first is the first request of any.
	arrivals []time.Time
	first    time.Time
}

type response struct {
	process int
	rate    float64
	sentAt  time.Time
}

// step lets time pass: processes start and stop, send all that they may, and receive what
// others told some time ago.
func (c *limitedCrowd) step(n int, changes float64) {
	c.crowd.step(changes)
	life := screener.LifeOf(&c.upstream)
	for _, r := range c.responses[n] {
		s := c.running[r.process]
		switch {
		case s == nil:
		case r.rate >= 0:
			s.RecordLimit(life, r.rate, c.now)
		default:
			s.RecordNoLimit(life, r.sentAt, c.now)
		}
	}
	delete(c.responses, n)
	c.exchange(n, life)
	for i, s := range c.running {
		if s == nil {
			continue
		}
		if _, ok := c.knownFrom[s]; !ok && s.Screen(&c.upstream, c.now).State == screener.StateLimited {
			c.knownFrom[s] = c.now
		}
		c.send(n, i, s)
	}
}

// exchange adds up the evidence of all processes, and lets each receive an earlier sum.
func (c *limitedCrowd) exchange(n int, life screener.Life) {
	newest := screener.LimitNotice{Age: -1}
	for _, s := range c.running {
		if s == nil {
			continue
		}
		if x, ok := s.OwnLimits(c.now)[life]; ok && (newest.Age < 0 || x.Age < newest.Age) {
			newest = x
		}
	}
	c.told = append(c.told, newest)
	for _, s := range c.running {
		age := 1 + c.random.IntN(_exchangeSteps)
		if s == nil || age > n || c.told[n-age].Age < 0 {
			continue
		}
		x := c.told[n-age]
		x.Age += time.Duration(age) * _step
		s.ReceiveLimit(life, x, c.now)
	}
}

// send sends the requests that a process may send, at most _maxSends; without a limit, a
// few.
func (c *limitedCrowd) send(n, process int, s *screener.Screener) {
	for range _maxSends {
		if !s.Take(&c.upstream, c.now) {
			return
		}
		isLimited := s.Screen(&c.upstream, c.now).State == screener.StateLimited
		if !isLimited && c.random.IntN(5) > 0 {
			return
		}
		c.recordArrival(s)
		at := n + 1 + c.random.IntN(_responseSteps)
		c.responses[at] = append(c.responses[at], response{process, c.rate, c.now})
		if !isLimited {
			return
		}
	}
}

// recordArrival counts a request of a process if it counts.
func (c *limitedCrowd) recordArrival(s *screener.Screener) {
	if c.first.IsZero() {
		c.first = c.now
	}
	if knownFrom, ok := c.knownFrom[s]; ok && c.now.Sub(knownFrom) >= _noticeTime {
		c.arrivals = append(c.arrivals, c.now.Add(time.Duration(c.random.IntN(100))*time.Millisecond))
	}
}

// most returns the most arrivals within _limitWindow from a time on, and their number.
func (c *limitedCrowd) most(from time.Time) (most, total int) {
	times := slices.DeleteFunc(slices.Clone(c.arrivals), func(at time.Time) bool { return at.Before(from) })
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= _limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(times)
}

// newLimitedCrowd returns a crowd of which the first requests have just been sent to an
// upstream that states a limit.
func newLimitedCrowd(seed uint64, processes int, rate float64) *limitedCrowd {
	return &limitedCrowd{
		crowd: newCrowd(seed, processes), upstream: cataloguer.Upstream{ID: "u1", Service: "s"}, rate: rate,
		responses: make(map[int][]response), knownFrom: make(map[*screener.Screener]time.Time),
	}
}

// The requests of all processes to an upstream that states a limit stay within its bound,
// whatever their number, their lists of each other, and however many start and stop. Where
// none do, most of the limit is used.
func TestLimitExceeded(t *testing.T) {
	testCases := []struct {
		processes int
		changes   float64
		limits    []float64
	}{
		{1, 0, []float64{0, 0.6, 9.3, 40}},
		{7, 0, []float64{0, 0.1, 0.6, 1.5, 4, 9.3, 40}},
		{7, 0.005, []float64{0, 0.1, 0.6, 1.5, 4, 9.3, 40}},
		{90, 0, []float64{0, 0.6, 4, 9.3, 40}},
		{90, 0.002, []float64{0, 0.6, 4, 9.3, 40}},
		{371, 0.0005, []float64{9.3}},
	}
	for _, tc := range testCases {
		for _, rate := range tc.limits {
			for seed := range *_randomSeeds {
				t.Run(fmt.Sprintf("%d processes, changes %g, limit %g, seed %d", tc.processes, tc.changes, rate, seed), func(t *testing.T) {
					c := newLimitedCrowd(seed, tc.processes, rate)
					for n := range _limitSteps {
						c.step(n, tc.changes)
					}
					most, total := c.most(c.first.Add(_limitGrace))
					assert.LessOrEqual(t, float64(most), _limitOverage*rate*_limitWindow.Seconds()+_limitSlack)
					if allowed := rate * (time.Duration(_limitSteps)*_step - _limitGrace).Seconds(); tc.changes == 0 && allowed > 20 {
						assert.Greater(t, float64(total), 0.8*allowed)
					}
				})
			}
		}
	}
}

// All processes learn that a limit has ended, or it lapses.
func TestLimitEndMissed(t *testing.T) {
	testCases := []struct {
		processes int
		changes   float64
		rate      float64
	}{{1, 0, 0}, {7, 0, 0.1}, {7, 0.005, 0.6}, {7, 0.005, 9.3}, {90, 0, 4}, {90, 0.002, 0}, {90, 0.002, 9.3}}
	for _, tc := range testCases {
		for seed := range *_randomSeeds {
			t.Run(fmt.Sprintf("%d processes, changes %g, limit %g, seed %d", tc.processes, tc.changes, tc.rate, seed), func(t *testing.T) {
				c := newLimitedCrowd(seed, tc.processes, tc.rate)
				for n := range _limitSteps {
					c.step(n, tc.changes)
				}
				c.rate = -1
				for n := range _endSteps {
					c.step(_limitSteps+n, tc.changes)
				}
				for i, s := range c.running {
					if s != nil {
						assert.Equal(t, screener.StateReady, s.Screen(&c.upstream, c.now).State, c.names[i])
					}
				}
			})
		}
	}
}
