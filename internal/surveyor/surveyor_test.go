package surveyor_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/messenger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/surveyor"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const _address = "10.0.0.1:80"

// world is an upstream and the platform's list in one.
type world struct {
	mu     sync.Mutex
	status messenger.Status
	err    error
	listed []storer.Instance
}

func (w *world) set(leaving bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status, w.err = messenger.Status{Leaving: leaving}, err
}

func (w *world) Status(context.Context, string) (messenger.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.status, w.err
}

func (w *world) List(context.Context, string) ([]storer.Object, error) { return nil, nil }

func (w *world) Instances(context.Context) ([]storer.Instance, error) { return w.listed, nil }

func TestLeaving(t *testing.T) {
	away := errors.New("no status")
	type step struct {
		leaving bool
		err     error
		after   time.Duration
		want    bool
	}
	testCases := []struct {
		name   string
		listed []storer.Instance
		steps  []step
	}{
		{name: "stays", steps: []step{{after: 5 * time.Second}}},
		{name: "a failing status takes nothing out", steps: []step{{err: away, after: 5 * time.Second}}},
		{name: "leaves within seconds, and comes back", steps: []step{
			{after: time.Second}, {leaving: true, after: 3 * time.Second, want: true}, {after: 3 * time.Second},
		}},
		{name: "leaves and falls silent", steps: []step{
			{leaving: true, after: 3 * time.Second, want: true}, {err: away, after: 30 * time.Second, want: true}, {err: away, after: time.Minute},
		}},
		{name: "listed as leaving", listed: []storer.Instance{{Name: "s", Address: _address, Kind: "service", Leaving: true}}, steps: []step{
			{after: time.Second, want: true},
		}},
		{name: "another one listed as leaving", listed: []storer.Instance{{Name: "s", Address: "10.0.0.2:80", Kind: "service", Leaving: true}}, steps: []step{
			{after: time.Second},
		}},
		{name: "an engine listed as leaving", listed: []storer.Instance{{Name: "s", Address: _address, Kind: "engine", Leaving: true}}, steps: []step{
			{after: time.Second},
		}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{listed: tc.listed}
				c := configurer.New(nil, nil, logger.Logger{})
				require.True(t, c.Offer(&wire.ConfigurationRecord{Number: 1, Document: `{"services":{"lodgement":{"upstreams":{
					"s":{"address":"10.0.0.1:80","data_centre":"near"}}}}}`}, "test"))
				list := watcher.New(w, new(reader.Turn), logger.Logger{})
				require.NoError(t, list.Poll(t.Context()))
				s := &surveyor.Surveyor{Configuration: c, Platform: list, Client: w}
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				// Rounds and steps don't fall on the same instants.
				time.Sleep(100 * time.Millisecond)
				for i, x := range tc.steps {
					w.set(x.leaving, x.err)
					if i == 0 {
						group.Go(func() { s.Run(ctx) })
					}
					time.Sleep(x.after)
					assert.Equal(t, x.want, s.Leaving(_address), "step %d", i)
				}
				cancel()
				group.Wait()
			})
		})
	}
}
