package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/dispatcher"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// readyClient is a status client that reports every instance as a ready member of
// its own replica.
type readyClient struct{}

func (readyClient) Status(_ context.Context, address string) (engineclient.Status, error) {
	return engineclient.Status{Instance: address, Replica: "r-" + address, Generation: 1, Model: "m", Version: "v1", State: engineclient.StateReady}, nil
}

// fixture is a dispatcher with replicas of one member each.
type fixture struct {
	dispatcher *dispatcher.Dispatcher
	configurer *configurer.Configurer
	tracker    *placementtracker.Tracker
	prober     *prober.Prober
}

// newFixture returns a fixture with that many replicas, each with that many
// slots.
func newFixture(tb testing.TB, replicas, slots int) *fixture {
	f := &fixture{
		configurer: configurer.New(nil, &reader.Schedule{}, logger.Logger{}), tracker: placementtracker.New(nil, &reader.Schedule{}, logger.Logger{}),
		prober: prober.New(readyClient{}, logger.Logger{}),
	}
	document := `{"groups":{"g":{"model":"m","version":"v1","data_centre":"a","replicas":1,"members":1}}}`
	require.True(tb, f.configurer.ApplyRecord(&wire.ConfigurationRecord{Number: 1, Document: document}, "test"))
	p := &wire.Placement{DataCentre: "a", Domain: "f1", Revision: 1}
	var targets []prober.Target
	for i := range replicas {
		name := fmt.Sprintf("i%d", i)
		p.Replicas = append(p.Replicas, &wire.Replica{
			Name: "r-" + name, Group: "g", Generation: 1, Model: "m", Version: "v1", Members: []string{name}, Addresses: []string{name},
			Slots: uint32(slots), State: wire.ReplicaState_REPLICA_STATE_SERVING,
		})
		targets = append(targets, prober.Target{Instance: name, Address: name, Interval: 100 * time.Millisecond})
	}
	require.True(tb, f.tracker.ApplyPlacement(p))
	f.prober.SetTargets(targets)
	f.dispatcher = dispatcher.New("a", f.configurer, f.tracker, f.prober, logger.Logger{})
	return f
}

// run runs the dispatcher until test returns.
func (f *fixture) run(test func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.Run(ctx)
	}()
	time.Sleep(time.Second) // lets every instance be probed
	test()
	cancel()
	<-done
	_ = f.prober.Close()
}

// TestAcquireCancelled checks that no slot is lost when a caller gives up while a
// slot is being assigned to it.
func TestAcquireCancelled(t *testing.T) {
	testCases := []struct {
		name    string
		release time.Duration // when the first request releases its slot
	}{
		{name: "before the slot is free", release: time.Second},
		{name: "as the slot becomes free", release: 300 * time.Millisecond},
		{name: "after the slot is assigned", release: 100 * time.Millisecond},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1, 1)
				f.run(func() {
					first, err := f.dispatcher.Acquire(t.Context(), scheduler.Request{ID: "first", Model: "m"})
					require.NoError(t, err)
					time.AfterFunc(tc.release, func() { first.Release(1) })
					ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
					defer cancel()
					if s, err := f.dispatcher.Acquire(ctx, scheduler.Request{ID: "second", Model: "m"}); err == nil {
						s.Release(1)
					}
					time.Sleep(time.Second)
					assert.Zero(t, f.dispatcher.InFlight())
					assert.Zero(t, f.dispatcher.Waiting())
					last, err := f.dispatcher.Acquire(t.Context(), scheduler.Request{ID: "last", Model: "m"})
					require.NoError(t, err)
					last.Release(1)
				})
			})
		})
	}
}
