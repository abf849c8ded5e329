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

// A send is broken off where its upstream has fallen silent and the request can
// go on elsewhere. Waiting for a first event as long as is usual is no silence.
func TestWatchdog(t *testing.T) {
	testCases := []struct {
		name string
		// usual is the usual wait for a first event.
		usual time.Duration
		// begun says that the answer has begun.
		begun bool
		// elsewhere says that the request can go on elsewhere.
		elsewhere bool
		// other says that another stream of the upstream goes on.
		other bool
		// ended is when the send is broken off; 0 means never.
		ended     time.Duration
		suspected time.Duration
	}{
		{name: "answer stops", begun: true, elsewhere: true, ended: 500, suspected: 500},
		{name: "answer stops, nowhere else to go", begun: true, suspected: 500},
		{name: "nothing known of waits", elsewhere: true, ended: 500, suspected: 500},
		{name: "short waits are usual", usual: 100, elsewhere: true, ended: 500, suspected: 500},
		{name: "long waits are usual", usual: 350, elsewhere: true, ended: 1100, suspected: 1100},
		{name: "very long waits are usual", usual: 900, elsewhere: true, ended: 1200, suspected: 1200},
		{name: "others go on", begun: true, elsewhere: true, other: true, ended: 1200},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				since := func() time.Duration { return time.Duration(time.Since(start).Milliseconds()) }
				var ended, suspected time.Duration
				dog := &relayer.Watchdog{Balancer: &balancer.Balancer{}, Suspect: func(string) { suspected = since() }}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				done := make(chan struct{})
				go func() {
					defer close(done)
					dog.Run(ctx)
				}()
				w := dog.Watch(relayer.Send{
					Upstream: "a", Wait: tc.usual * time.Millisecond,
					End: func() { ended = since() }, May: func() bool { return tc.elsewhere },
				})
				defer w.End()
				if tc.begun {
					w.Heard()
				}
				for range 30 {
					time.Sleep(50 * time.Millisecond)
					if tc.other {
						dog.Balancer.RecordActivity("a", time.Now())
					}
				}
				cancel()
				<-done
				assert.InDelta(t, tc.ended, ended, 100)
				assert.InDelta(t, tc.suspected, suspected, 100)
			})
		})
	}
}
