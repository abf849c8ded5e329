package screener_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// _randomSeeds is the number of seeds of the random tests; give more by hand.
var _randomSeeds = flag.Uint64("screener.seeds", 2, "number of seeds of the random tests")

const (
	_coldRate, _coldOverage, _coldSlack = 26, 1.5, 5
	_coldBound                          = _coldRate*_coldOverage + _coldSlack
	_step                               = 50 * time.Millisecond
	// _listDelay is how late processes learn at most that others start or stop.
	_listDelay = 5 * time.Second
)

// crowd is a number of processes, of which some start and stop. Each knows the others as
// they were some time ago.
type crowd struct {
	random    *rand.Rand
	now       time.Time
	names     []string
	running   []*screener.Screener // nil for a process that does not run
	delays    []time.Duration
	histories [][]bool // whether each process ran, at each step
}

func newCrowd(seed uint64, count int) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0), running: make([]*screener.Screener, count)}
	for i := range count {
		c.names = append(c.names, fmt.Sprintf("instance-%d", i))
		c.delays = append(c.delays, time.Duration(c.random.Int64N(int64(_listDelay))))
		c.start(i, c.now)
	}
	return c
}

// start starts a process, which may send requests to cold upstreams from a time on.
func (c *crowd) start(i int, coldFrom time.Time) {
	s := &screener.Screener{Name: c.names[i], ColdLimit: screener.ColdLimit{Overage: _coldOverage, Slack: _coldSlack}, BoundedFrom: coldFrom}
	s.SetConfiguration(&cataloguer.Configuration{Services: map[string]cataloguer.Service{"s": {Name: "s", ColdTime: 3 * time.Second, ColdRate: _coldRate}}})
	c.running[i] = s
}

// step lets time pass, starts and stops a part of the processes, and lets each read the list
// of processes about once a second.
func (c *crowd) step(changes float64) {
	c.now = c.now.Add(_step)
	for i, s := range c.running {
		if c.random.Float64() < changes {
			if s == nil {
				c.start(i, c.now.Add(6*time.Second))
			} else {
				c.running[i] = nil
			}
		}
	}
	ran := make([]bool, len(c.running))
	for i, s := range c.running {
		ran[i] = s != nil
	}
	c.histories = append(c.histories, ran)
	for i, s := range c.running {
		if s == nil || c.random.IntN(int(time.Second/_step)) > 0 && len(c.histories) > 1 {
			continue
		}
		var names []string
		for j, ran := range c.histories[max(len(c.histories)-1-int(c.delays[i]/_step), 0)] {
			if ran || j == i {
				names = append(names, c.names[j])
			}
		}
		s.SetProcesses(names, c.now)
	}
}

// The requests of all processes to a cold upstream stay within its bound in any second,
// whatever their number, and however many start and stop. Where none do, most of the bound
// can be used.
func TestColdBound(t *testing.T) {
	testCases := []struct {
		processes int
		// changes is the part of the processes that start or stop in a step.
		changes float64
	}{
		{processes: 1},
		{processes: 7},
		{processes: 7, changes: 0.01},
		{processes: 90},
		{processes: 90, changes: 0.002},
		{processes: 90, changes: 0.01},
		{processes: 371, changes: 0.002},
	}
	for _, tc := range testCases {
		for seed := range *_randomSeeds {
			t.Run(fmt.Sprintf("%d processes, changes %g, seed %d", tc.processes, tc.changes, seed), func(t *testing.T) {
				most, total := playCold(newCrowd(seed, tc.processes), tc.changes)
				assert.LessOrEqual(t, float64(most), _coldBound)
				if tc.changes == 0 {
					assert.Greater(t, most, int(_coldBound/2))
					assert.Positive(t, total)
				}
			})
		}
	}
}

// playCold has each process send all that it may to a few upstreams of a data centre that
// was evacuated, for as long as they are cold, a few times. It returns the most requests to
// one upstream within a second, and their number.
func playCold(c *crowd, changes float64) (most, total int) {
	upstreams := []cataloguer.Upstream{{ID: "u1", Service: "s"}, {ID: "u2", Service: "s"}, {ID: "u3", Service: "s"}}
	for i := range upstreams {
		upstreams[i].ColdTime = 3 * time.Second
	}
	sent := make(map[string][]time.Time)
	for n := range int(15 * time.Second / _step) {
		c.step(changes)
		if n%int(5*time.Second/_step) == 0 {
			for i := range upstreams {
				upstreams[i].ColdTime += time.Millisecond // another phase
			}
		}
		fleet := cataloguer.NewFleet(1, map[string]cataloguer.Upstream{"u1": upstreams[0], "u2": upstreams[1], "u3": upstreams[2]})
		for _, s := range c.running {
			if s == nil {
				continue
			}
			s.Observe(fleet, c.now)
			for i := range upstreams {
				for s.Screen(&upstreams[i], c.now).State == screener.StateCold && s.Take(&upstreams[i], c.now) {
					sent[upstreams[i].ID] = append(sent[upstreams[i].ID], c.now.Add(time.Duration(c.random.IntN(40))*time.Millisecond))
				}
			}
		}
	}
	for _, times := range sent {
		total += len(times)
		most = max(most, mostWithinSecond(times))
	}
	return most, total
}

// mostWithinSecond returns the largest number of times within a second.
func mostWithinSecond(times []time.Time) int {
	most := 0
	for _, from := range times {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
