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
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// asker says that every instance is a ready member of its own replica.
type asker struct{}

func (asker) Status(_ context.Context, address string) (engineclient.Status, error) {
	return engineclient.Status{Instance: address, Replica: "r-" + address, Generation: 1, Model: "m", Version: "v1", State: engineclient.StateReady}, nil
}

// world is a dispatcher before replicas of one member and slots each.
type world struct {
	dispatcher *dispatcher.Dispatcher
	configurer *configurer.Configurer
	watcher    *watcher.Watcher
	prober     *prober.Prober
}

func newWorld(tb testing.TB, replicas, slots int) *world {
	w := &world{
		configurer: configurer.New(nil, &reader.Schedule{}, logger.Logger{}), watcher: watcher.New(nil, &reader.Schedule{}, logger.Logger{}),
		prober: prober.New(asker{}, logger.Logger{}),
	}
	document := `{"groups":{"g":{"model":"m","version":"v1","data_centre":"a","replicas":1,"members":1}}}`
	require.True(tb, w.configurer.ApplyRecord(&wire.ConfigurationRecord{Number: 1, Document: document}, "test"))
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
	require.True(tb, w.watcher.Offer(p))
	w.prober.SetTargets(targets)
	w.dispatcher = dispatcher.New("a", w.configurer, w.watcher, w.prober, logger.Logger{})
	return w
}

// run runs the dispatcher until the test function returns.
func (w *world) run(f func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.dispatcher.Run(ctx)
	}()
	time.Sleep(time.Second) // one round of probes
	f()
	cancel()
	<-done
	_ = w.prober.Close()
}

func TestAcquireCancelled(t *testing.T) {
	testCases := []struct {
		name    string
		release time.Duration // when the place comes free
	}{
		{name: "before the place is free", release: time.Second},
		{name: "as the place comes free", release: 300 * time.Millisecond},
		{name: "after the place is given", release: 100 * time.Millisecond},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, 1)
				w.run(func() {
					first, err := w.dispatcher.Acquire(t.Context(), scheduler.Request{ID: "first", Model: "m"})
					require.NoError(t, err)
					time.AfterFunc(tc.release, func() { first.Release(1) })
					ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
					defer cancel()
					if p, err := w.dispatcher.Acquire(ctx, scheduler.Request{ID: "second", Model: "m"}); err == nil {
						p.Release(1)
					}
					time.Sleep(time.Second)
					assert.Zero(t, w.dispatcher.InFlight())
					assert.Zero(t, w.dispatcher.Waiting())
					last, err := w.dispatcher.Acquire(t.Context(), scheduler.Request{ID: "last", Model: "m"})
					require.NoError(t, err)
					last.Release(1)
				})
			})
		})
	}
}
