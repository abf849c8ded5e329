package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
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
					Cancel: func() { cancelledAt = elapsedMs() }, CanReroute: func() bool { return tc.canReroute },
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
