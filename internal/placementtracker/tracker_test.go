package placementtracker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// leavingStore is a store whose list holds one instance, which is leaving.
type leavingStore struct{ *standin.Store }

func (leavingStore) Instances(context.Context) ([]storer.Instance, error) {
	return []storer.Instance{{Name: "e1", Leaving: true}}, nil
}

// An instance stays marked as leaving until another process has read the list much
// later than this one, and throughout an outage, when no process reads it.
func TestLeavingMarkIsClearedByLaterRead(t *testing.T) {
	testCases := []struct {
		name    string
		wait    time.Duration
		others  bool // another process reads the list at the end
		leaving bool
	}{
		{name: "list just read", leaving: true},
		{name: "no process reads for an hour", wait: time.Hour, leaving: true},
		{name: "another process reads soon after", wait: 5 * time.Second, others: true, leaving: true},
		{name: "another process reads much later", wait: time.Minute, others: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var schedule reader.Schedule
				tracker := placementtracker.New(leavingStore{standin.NewStore()}, &schedule, logger.Logger{})
				require.NoError(t, tracker.Poll(context.Background()))
				time.Sleep(tc.wait)
				if tc.others {
					schedule.ObserveRead(time.Now())
				}
				require.Equal(t, tc.leaving, tracker.View().Instances()["e1"].Leaving)
			})
		})
	}
}

// A copy from a peer replaces the known placement only if its revision is higher.
func TestOfferAcceptsOnlyNewerRevisions(t *testing.T) {
	testCases := []struct {
		name     string
		revision uint64
		accepted bool
	}{
		{name: "older revision", revision: 2},
		{name: "same revision", revision: 3},
		{name: "newer revision", revision: 4, accepted: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			tracker := placementtracker.New(standin.NewStore(), &reader.Schedule{}, logger.Logger{})
			p := &wire.Placement{DataCentre: "a", Domain: "f1", Revision: 3}
			require.True(t, tracker.ApplyPlacement(p))
			next := &wire.Placement{DataCentre: "a", Domain: "f1", Revision: tc.revision}
			require.Equal(t, tc.accepted, tracker.ApplyPlacement(next))
			require.Equal(t, max(3, tc.revision), tracker.View().Placements()[placementtracker.PlacementKey(p)].GetRevision())
		})
	}
}
