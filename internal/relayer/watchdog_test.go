package relayer_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
)

// A send is cancelled if its upstream has stopped sending data and the request can
// continue at another upstream. An upstream whose first event takes no longer than
// expected does not count as silent.
func TestWatchdogCancelsSilentSends(t *testing.T) {
	testCases := []struct {
		name string
		// expectedWait is the average wait for a first event, in milliseconds.
		expectedWait time.Duration
		// begun is true if the response has begun.
		begun bool
		// canReroute is true if the request can continue at another upstream.
		canReroute bool
		// otherStream is true if another stream of the upstream continues.
		otherStream bool
		// cancelledAt is when the send is cancelled, in milliseconds; 0 means never.
		cancelledAt time.Duration
		// reportedAt is when the silence of the upstream is reported, in milliseconds;
		// 0 means never.
		reportedAt time.Duration
	}{
		{name: "response stops", begun: true, canReroute: true, cancelledAt: 500, reportedAt: 500},
		{name: "response stops, no other upstream", begun: true, reportedAt: 500},
		{name: "no wait observed", canReroute: true, cancelledAt: 500, reportedAt: 500},
		{name: "short waits expected", expectedWait: 100, canReroute: true, cancelledAt: 500, reportedAt: 500},
		{name: "long waits expected", expectedWait: 350, canReroute: true, cancelledAt: 1100, reportedAt: 1100},
		{name: "very long waits expected", expectedWait: 900, canReroute: true, cancelledAt: 1200, reportedAt: 1200},
		{name: "another stream continues", begun: true, canReroute: true, otherStream: true, cancelledAt: 1200},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				elapsedMs := func() time.Duration { return time.Duration(time.Since(start).Milliseconds()) }
				var cancelledAt, reportedAt time.Duration
				watchdog := &relayer.Watchdog{Balancer: &balancer.Balancer{}, OnSilence: func(string) { reportedAt = elapsedMs() }}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				done := make(chan struct{})
				go func() {
					defer close(done)
					watchdog.Run(ctx)
				}()
				w := watchdog.Watch(relayer.Send{
					Upstream: "a", ExpectedWait: tc.expectedWait * time.Millisecond,
					Cancel: func() { cancelledAt = elapsedMs() }, Reroute: func() bool { return tc.canReroute },
				})
				defer w.Stop()
				if tc.begun {
					w.RecordActivity()
				}
				for range 30 {
					time.Sleep(50 * time.Millisecond)
					if tc.otherStream {
						watchdog.Balancer.RecordActivity("a", time.Now())
					}
				}
				cancel()
				<-done
				assert.InDelta(t, tc.cancelledAt, cancelledAt, 100)
				assert.InDelta(t, tc.reportedAt, reportedAt, 100)
			})
		})
	}
}

// Of many streams whose upstream pauses, only those are broken off for which there is a retry;
// the others get their last event later.
func TestSilentStreamsWithoutRetryAreNotBrokenOff(t *testing.T) {
	var runs atomic.Int32
	s := startRelayer(t, cataloguer.KindStream, true, []string{"4 paused", "4 paused"}, &runs)
	relay := s.Config.Handler.(*relayer.Relayer)
	relay.Budget = &budgeter.Budget{Window: time.Minute, Slack: 1}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go relay.Watchdog.Run(ctx)
	results := make(chan string, 8)
	for n := range cap(results) {
		go func() {
			results <- sendRequestWith(t, s, "/a/x", http.Header{"Id": {strconv.Itoa(n + 1)}, "Key": {"k"}})
		}()
	}
	for range cap(results) {
		assert.Equal(t, "200 1 2 3 4", <-results)
	}
	assert.LessOrEqual(t, runs.Load(), int32(cap(results)+1))
	assert.Equal(t, int64(1), relay.Balancer.InFlight())
}

// A stream that has broken off waits for a retry and an upstream while its time lasts, and
// spends one retry.
func TestBrokenStreamWaitsForRetry(t *testing.T) {
	var runs atomic.Int32
	s := startRelayer(t, cataloguer.KindStream, true, []string{"2 cut", "4"}, &runs)
	relay := s.Config.Handler.(*relayer.Relayer)
	relay.Budget = &budgeter.Budget{Window: time.Minute}
	relay.Balancer.MarkSilent("1", 0, true, time.Now())
	go func() {
		for runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		relay.Budget.Configure(time.Minute, 0, 1)
		time.Sleep(250 * time.Millisecond)
		relay.Balancer.RecordActivity("1", time.Now())
	}()
	assert.Equal(t, "200 1 2 3 4", sendRequest(t, s, "/a/x", "k"))
}
