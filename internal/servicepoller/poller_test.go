package servicepoller_test

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
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/servicepoller"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const _address = "10.0.0.1:80"

// environment stands in for an upstream and for the platform's list of instances.
type environment struct {
	mu     sync.Mutex
	status engineclient.Status
	err    error
	listed []storer.Instance
}

func (e *environment) set(leaving bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status, e.err = engineclient.Status{Leaving: leaving}, err
}

func (e *environment) Status(context.Context, string) (engineclient.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status, e.err
}

func (e *environment) List(context.Context, string) ([]storer.Object, error) { return nil, nil }

func (e *environment) Instances(context.Context) ([]storer.Instance, error) { return e.listed, nil }

// An upstream is leaving if its own status or its entry in the platform's list says
// so. A failed status request neither sets that nor clears it before it expires.
func TestLeaving(t *testing.T) {
	errNoStatus := errors.New("no status")
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
		{name: "not leaving", steps: []step{{after: 5 * time.Second}}},
		{name: "failing status requests leave the upstream in use", steps: []step{{err: errNoStatus, after: 5 * time.Second}}},
		{name: "leaving shows within seconds, and so does its end", steps: []step{
			{after: time.Second}, {leaving: true, after: 3 * time.Second, want: true}, {after: 3 * time.Second},
		}},
		{name: "a report of leaving expires when status requests fail", steps: []step{
			{leaving: true, after: 3 * time.Second, want: true}, {err: errNoStatus, after: 30 * time.Second, want: true}, {err: errNoStatus, after: time.Minute},
		}},
		{name: "listed as leaving", listed: []storer.Instance{{Name: "s", Address: _address, Kind: "service", Leaving: true}}, steps: []step{
			{after: time.Second, want: true},
		}},
		{name: "another service listed as leaving", listed: []storer.Instance{{Name: "s", Address: "10.0.0.2:80", Kind: "service", Leaving: true}}, steps: []step{
			{after: time.Second},
		}},
		{name: "an engine listed as leaving", listed: []storer.Instance{{Name: "s", Address: _address, Kind: "engine", Leaving: true}}, steps: []step{
			{after: time.Second},
		}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := &environment{listed: tc.listed}
				c := configurer.New(nil, nil, logger.Logger{})
				require.True(t, c.ApplyRecord(&wire.ConfigurationRecord{Number: 1, Document: `{"services":{"lodgement":{"upstreams":{
					"s":{"address":"10.0.0.1:80","data_centre":"near"}}}}}`}, "test"))
				list := placementtracker.New(env, new(reader.Schedule), logger.Logger{})
				require.NoError(t, list.Poll(t.Context()))
				p := &servicepoller.Poller{Configuration: c, Platform: list, Client: env}
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				// The offset keeps polls and steps from falling on the same instant.
				time.Sleep(100 * time.Millisecond)
				for i, x := range tc.steps {
					env.set(x.leaving, x.err)
					if i == 0 {
						group.Go(func() { p.Run(ctx) })
					}
					time.Sleep(x.after)
					assert.Equal(t, x.want, p.Leaving(_address), "step %d", i)
				}
				cancel()
				group.Wait()
			})
		})
	}
}
