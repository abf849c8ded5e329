package watcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// listing is a platform with one instance that leaves.
type listing struct{ *standin.Store }

func (listing) Instances(context.Context) ([]storer.Instance, error) {
	return []storer.Instance{{Name: "e1", Leaving: true}}, nil
}

// The word that an instance leaves stands until others have read the list much
// later, and through any outage.
func TestLeavingIsSuperseded(t *testing.T) {
	testCases := []struct {
		name    string
		wait    time.Duration
		others  bool // another process reads the list at the end
		leaving bool
	}{
		{name: "just read", leaving: true},
		{name: "nobody reads for an hour", wait: time.Hour, leaving: true},
		{name: "another reads soon after", wait: 5 * time.Second, others: true, leaving: true},
		{name: "another reads much later", wait: time.Minute, others: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var turn reader.Schedule
				w := watcher.New(listing{standin.NewStore()}, &turn, logger.Logger{})
				require.NoError(t, w.Poll(context.Background()))
				time.Sleep(tc.wait)
				if tc.others {
					turn.ObserveRead(time.Now())
				}
				require.Equal(t, tc.leaving, w.View().Instances()["e1"].Leaving)
			})
		})
	}
}

// The copy with the higher revision wins; a copy from a peer keeps no version.
func TestOffer(t *testing.T) {
	testCases := []struct {
		name     string
		revision uint64
		taken    bool
	}{
		{name: "older", revision: 2},
		{name: "same", revision: 3},
		{name: "newer", revision: 4, taken: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			w := watcher.New(standin.NewStore(), &reader.Schedule{}, logger.Logger{})
			p := &wire.Placement{DataCentre: "a", Domain: "f1", Revision: 3}
			require.True(t, w.Offer(p))
			next := &wire.Placement{DataCentre: "a", Domain: "f1", Revision: tc.revision}
			require.Equal(t, tc.taken, w.Offer(next))
			require.Equal(t, max(3, tc.revision), w.View().Placements()[watcher.PlacementKey(p)].GetRevision())
		})
	}
}
