package grouper_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Under random failures of upstreams and lost answers to orders, no group opens while
// it lacks a member, no member leaves an open group for another group, and loads stay
// within their rate.
func TestRandomTroubles(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
		require.NoError(t, flag.Set("rapid.checks", "300"))
	}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.add("a", 11)
		s.add("b", 11)
		s.run(9500 * time.Millisecond)
		s.trafficStarted = true
		selectors := []string{"head large", "member large", "head small", "member small", "spare"}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			u := s.find(rapid.SampledFrom(selectors).Draw(t, "what"))
			switch rapid.IntRange(0, 8).Draw(t, "failure") {
			case 0, 1:
				if u != nil {
					u.dead = true
				}
			case 2:
				if u != nil {
					u.unreachable = true
				}
			case 3:
				if u != nil {
					u.Draining = true
				}
			case 4:
				if u != nil {
					u.unlisted = true
				}
			case 5:
				s.loseAnswers, s.executionDelay = !s.loseAnswers, 3*time.Second
			case 6:
				s.term++
			case 7:
				for _, x := range s.upstreams {
					x.unreachable, x.unlisted = false, false
				}
			case 8:
				s.add("a", 1)
			}
			s.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
		s.loseAnswers = false
		s.run(5 * time.Second)
		if len(s.violations) > 0 {
			t.Fatal(s.violations)
		}
	})
}
