package budgeter_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
)

// With random requests and retries, the number of retries in any window does not
// exceed the ratio times the requests of that window and the one before it, plus the
// slack.
func TestSpendStaysWithinBudget(t *testing.T) {
	// Without -rapid.seed the test uses a fixed seed, so that its result repeats.
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
		require.NoError(t, flag.Set("rapid.checks", "100"))
	}
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		b := &budgeter.Budget{Window: window, Ratio: 0.2, Slack: 3}
		now := time.Unix(1_800_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("s", now)
				requests = append(requests, now)
				continue
			}
			if b.Spend("s", now) {
				retries = append(retries, now)
			}
			within := func(list []time.Time, d time.Duration) int {
				n := 0
				for _, at := range list {
					if now.Sub(at) < d {
						n++
					}
				}
				return n
			}
			// Counts are dropped a tenth of a window at a time, so the budget counts the
			// retries of at least nine tenths.
			if n := within(retries, window*9/10); float64(n) > 0.2*float64(within(requests, 2*window))+3 {
				t.Fatalf("%d retries within nine tenths of a window exceed the budget", n)
			}
		}
	})
}

// Processes that share the slack and restart together stay within it, even if they used
// their slack right before.
func TestRestartsAddNoSlack(t *testing.T) {
	const (
		window    = 10 * time.Second
		processes = 20
		slack     = 60
		step      = 100 * time.Millisecond
	)
	start := time.Unix(1_800_000_000, 0)
	var retries []time.Time
	for _, restarts := range [][]time.Duration{{0, 3 * time.Second}, {0, 9 * time.Second, 12 * time.Second}} {
		budgets := make([]*budgeter.Budget, processes)
		for now := start; now.Sub(start) < 40*time.Second; now = now.Add(step) {
			for i := range budgets {
				if slices.Contains(restarts, now.Sub(start)) {
					budgets[i] = &budgeter.Budget{Window: window, Slack: slack / processes}
					if now.After(start) {
						budgets[i].SlackFrom = now.Add(window)
					}
				}
				for budgets[i].Spend("s", now) {
					retries = append(retries, now)
				}
			}
			recent := 0
			for _, at := range retries {
				// The budget counts the retries of at least nine tenths of a window.
				if now.Sub(at) < window*9/10 && !at.After(now) {
					recent++
				}
			}
			require.LessOrEqual(t, recent, slack)
		}
		retries = nil
	}
}
