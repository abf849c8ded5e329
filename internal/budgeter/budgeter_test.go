package budgeter_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
)

const _window = 10 * time.Second

// within counts the times in the window that ends at a time.
func within(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(end.Add(-_window)) && !at.After(end) {
			n++
		}
	}
	return n
}

// allowed returns the number of retries allowed in the window that ends at a time: the slack
// and a fifth of the requests of that window, the one before it or the one half a window
// before it, whichever has most.
func allowed(requests []time.Time, end time.Time, slack float64) float64 {
	most := max(within(requests, end), within(requests, end.Add(-_window)), within(requests, end.Add(-_window/2)))
	return 0.2*float64(most) + slack
}

// No window, wherever it begins, has more retries than allowed, also if requests stop or
// come in bursts, and each retry reaches its upstream up to half a second late.
func TestNoWindowExceedsBudget(t *testing.T) {
	// Without -rapid.seed the test uses a fixed seed, so that its result repeats.
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
		require.NoError(t, flag.Set("rapid.checks", "100"))
	}
	rapid.Check(t, func(t *rapid.T) {
		const slack = 3
		b := &budgeter.Budget{Window: _window, Ratio: 0.2, Slack: slack}
		now := time.Unix(1_800_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.SampledFrom([]int{0, 0, 1, 5, 40}).Draw(t, "requests") {
				b.RecordRequest("s", now)
				requests = append(requests, now)
			}
			for range rapid.SampledFrom([]int{0, 1, 50}).Draw(t, "retries") {
				if b.Spend("s", now) {
					delay := time.Duration(rapid.IntRange(0, 500).Draw(t, "delay")) * time.Millisecond
					retries = append(retries, now.Add(delay))
				}
			}
		}
		for _, first := range retries {
			for _, end := range []time.Time{first, first.Add(_window - time.Nanosecond)} {
				if n, most := within(retries, end), allowed(requests, end, slack); float64(n) > most {
					t.Fatalf("%d retries in the window that ends at %s, allowed %g", n, end.Sub(time.Unix(1_800_000_000, 0)), most)
				}
			}
		}
	})
}

// While all requests fail, the slack is not spent again until a whole window has passed.
func TestSlackIsSpentOncePerWindow(t *testing.T) {
	const slack = 20
	b := &budgeter.Budget{Window: _window, Slack: slack}
	start := time.Unix(1_800_000_000, 0)
	b.RecordRequest("s", start)
	var retries []time.Time
	for now := start; now.Sub(start) < 5*_window; now = now.Add(50 * time.Millisecond) {
		if now.Sub(start) >= 950*time.Millisecond && b.Spend("s", now) {
			retries = append(retries, now)
		}
		require.LessOrEqual(t, within(retries, now), slack)
	}
	assert.Greater(t, len(retries), 4*slack)
}

// Processes that share the slack and restart together stay within it, even if they used
// their slack right before.
func TestRestartsAddNoSlack(t *testing.T) {
	const (
		window    = _window
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
			require.LessOrEqual(t, within(retries, now), slack)
		}
		retries = nil
	}
}

// Processes that stop and start, one after the other or several at once, and that learn of
// it late, don't use more than the slack in any window.
func TestStopsInSeriesAddNoSlack(t *testing.T) {
	const (
		processes = 7
		slack     = 132
		step      = 100 * time.Millisecond
	)
	testCases := []struct {
		name string
		// stops and starts are the times at which the processes stop and start.
		stops, starts [processes]time.Duration
	}{
		{name: "six at once", stops: [processes]time.Duration{12 * time.Second, 12 * time.Second, 12 * time.Second, 12 * time.Second, 12 * time.Second, 12 * time.Second}},
		{name: "in series", stops: [processes]time.Duration{12 * time.Second, 14 * time.Second, 16 * time.Second, 18 * time.Second, 20 * time.Second, 22 * time.Second}},
		{
			name:   "restarts in series",
			stops:  [processes]time.Duration{12 * time.Second, 16 * time.Second, 20 * time.Second, 24 * time.Second, 28 * time.Second, 32 * time.Second},
			starts: [processes]time.Duration{21 * time.Second, 25 * time.Second, 29 * time.Second, 33 * time.Second, 37 * time.Second, 41 * time.Second},
		},
		{name: "one starts late", stops: [processes]time.Duration{12 * time.Second}, starts: [processes]time.Duration{40 * time.Second}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Unix(1_800_000_000, 0)
			running := func(i int, at time.Duration) bool {
				return tc.stops[i] == 0 || at < tc.stops[i] || tc.starts[i] > 0 && at >= tc.starts[i]
			}
			var budgets [processes]*budgeter.Budget
			var shares [processes]*budgeter.Share
			var retries []time.Time
			for at := time.Duration(0); at < 80*time.Second; at += step {
				now := start.Add(at)
				for i := range budgets {
					if !running(i, at) {
						budgets[i] = nil
						continue
					}
					if budgets[i] == nil {
						budgets[i], shares[i] = &budgeter.Budget{Window: _window}, &budgeter.Share{Window: _window}
						if at > 0 {
							budgets[i].SlackFrom = now.Add(_window)
						}
					}
					// Each process counts the others some seconds late.
					count := 1
					for j := range budgets {
						if j != i && running(j, max(at-time.Duration(j)*time.Second, 0)) {
							count++
						}
					}
					budgets[i].Configure(_window, 0, shares[i].Of(slack, count, now))
					for budgets[i].Spend("s", now) {
						retries = append(retries, now)
					}
				}
				require.LessOrEqual(t, within(retries, now), slack, "at %s", at)
			}
			assert.Greater(t, len(retries), 3*slack)
		})
	}
}
