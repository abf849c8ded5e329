package sharer_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// After the platform was silent, processes that nothing has happened to learn of a change
// within 3 s of its return, although their peers end at that moment. Waits that follow each
// other, for reads, pauses and peers that no longer answer, once added up to more.
func TestChangesAfterSilenceOfPlatform(t *testing.T) {
	const bound = 3 * time.Second
	testCases := []struct {
		name  string
		kills map[string]time.Duration // when processes end after the platform's return
	}{
		{name: "none"},
		{name: "reader", kills: map[string]time.Duration{"a0": 0}},
		{name: "neighbours", kills: map[string]time.Duration{"a0": 0, "a1": 900 * time.Millisecond}},
		{name: "gatherers", kills: map[string]time.Duration{"a0": 100 * time.Millisecond, "b0": 700 * time.Millisecond}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 0))
				runProbedSystem(t, 3, func(s *system) {
					time.Sleep(3*time.Second + time.Duration(random.Int64N(int64(time.Second))))
					s.platform.setSilent(true)
					time.Sleep(4*time.Second + time.Duration(random.Int64N(int64(2*time.Second))))
					s.platform.setSilent(false)
					for name, after := range tc.kills {
						time.AfterFunc(after, func() { s.kill(name) })
					}
					time.Sleep(100 * time.Millisecond)
					s.platform.put("x", "1")
					time.Sleep(bound - 100*time.Millisecond)
					for name, p := range s.processes {
						if _, killed := tc.kills[name]; killed {
							continue
						}
						what := fmt.Sprintf("seed %d, process %s", seed, name)
						assert.Equal(t, "1", p.seenValues()["x"], what)
						assert.Equal(t, "1", p.seenProbedValues()["x"], what)
					}
				})
			}
		})
	}
}

// The connections of a process to the platform go silent, and the peers that it follows end one
// after the other. The waits for these must not add up: a change of a second later is known
// within 3 s of the silence.
func TestChangesAfterSilentConnections(t *testing.T) {
	const bound = 3 * time.Second
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 0))
		runProbedSystem(t, 3, func(s *system) {
			time.Sleep(3*time.Second + time.Duration(random.Int64N(int64(time.Second))))
			s.platform.silenceConnections("b0", 2)
			for _, name := range []string{"a0", "a1", "a2"} {
				time.AfterFunc(time.Duration(random.Int64N(int64(2*time.Second))), func() { s.kill(name) })
			}
			time.Sleep(time.Second)
			s.platform.put("x", "1")
			time.Sleep(bound - time.Second)
			what := fmt.Sprintf("seed %d", seed)
			assert.Equal(t, "1", s.processes["b0"].seenValues()["x"], what)
			assert.Equal(t, "1", s.processes["b0"].seenProbedValues()["x"], what)
		})
	}
}

// Guards against changes that arrive late because a process waits for a gatherer that has ended
// and is merely tried again.
func TestChangesWhileGathererIsDead(t *testing.T) {
	runSystem(t, 4, func(s *system) {
		time.Sleep(3 * time.Second)
		s.kill("a0")
		time.Sleep(2 * time.Second)
		for i := range 40 {
			s.platform.put(strconv.Itoa(i%7), strconv.Itoa(i))
			time.Sleep(450 * time.Millisecond)
			for name, p := range s.processes {
				if name != "a0" {
					assert.Equal(t, strconv.Itoa(i), p.seenValues()[strconv.Itoa(i%7)], name)
				}
			}
		}
	})
}
