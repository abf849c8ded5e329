package replicator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// inForceLimit is how long an accepted patch may take to be in force in every process.
const inForceLimit = 7 * time.Second

// sevenEntries returns a fleet of the deployed size: seven entries in three data centres.
func sevenEntries() *fleet {
	f := newFleet()
	for i, dc := range []string{"qld-bne", "qld-tsv", "qld-cns", "qld-bne", "qld-tsv", "qld-cns", "qld-bne"} {
		f.add(dc, i, "qld-bne-000:1")
	}
	return f
}

// applyPatch applies a patch in the process and returns the new configuration's number.
func applyPatch(t *testing.T, m *member) uint64 {
	t.Helper()
	base := m.configuration.Current().Number()
	c, err := m.configuration.Patch(context.Background(), configurer.Patch{
		ID: fmt.Sprintf("p-%s-%d", m.name, base), Base: base, Author: "ann", Reason: "test",
		Merge: json.RawMessage(fmt.Sprintf(`{"policy":{"max_queue":%d}}`, 100+base)),
	})
	require.NoError(t, err)
	return c.GetNumber()
}

// A patch is in force within inForceLimit in every process that is checked, also when
// processes stop, data centres are isolated or the platform is unavailable.
func TestPatchInForce(t *testing.T) {
	testCases := []struct {
		name string
		// before is called directly before the patch, and after directly after it; either
		// may be nil.
		before, after func(t *testing.T, f *fleet)
		// skipped is the number of first members of the fleet that are not checked, since some
		// of them have stopped.
		skipped int
		// patcher is the index of the process that applies the patch.
		patcher int
	}{
		{name: "no failure"},
		{
			name: "designated readers stop right after the patch",
			after: func(_ *testing.T, f *fleet) {
				// The two designated readers of the first data centre.
				f.members[0].stop()
				f.members[3].stop()
			},
			skipped: 4,
		},
		{
			name: "designated readers stop while other data centres are out of reach",
			before: func(_ *testing.T, f *fleet) {
				f.partition()
				f.members[0].stop()
				f.members[3].stop()
			},
			skipped: 4,
			patcher: 1,
		},
		{
			name: "isolated data centre returns after its seed stopped and while the platform is unavailable",
			before: func(_ *testing.T, f *fleet) {
				f.setIsolated("qld-tsv", true)
				time.Sleep(20 * time.Minute)
				f.members[0].stop()
			},
			after: func(_ *testing.T, f *fleet) {
				time.Sleep(time.Minute)
				f.store.SetUnavailable(true)
				f.setIsolated("qld-tsv", false)
			},
			skipped: 1,
			patcher: 2,
		},
		{
			name: "entry starts while the platform is unavailable",
			after: func(_ *testing.T, f *fleet) {
				time.Sleep(time.Second)
				f.store.SetUnavailable(true)
				f.add("qld-tsv", 8, "qld-bne-000:1", "qld-bne-003:1")
			},
		},
		{
			name:   "data centre is isolated and returns after two minutes",
			before: func(_ *testing.T, f *fleet) { f.setIsolated("qld-tsv", true); time.Sleep(time.Minute) },
			after:  func(_ *testing.T, f *fleet) { time.Sleep(time.Minute); f.setIsolated("qld-tsv", false) },
		},
		{
			name:   "data centre returns after 21 minutes of isolation while the platform is unavailable",
			before: func(_ *testing.T, f *fleet) { f.setIsolated("qld-tsv", true); time.Sleep(20 * time.Minute) },
			after: func(_ *testing.T, f *fleet) {
				time.Sleep(time.Minute)
				f.store.SetUnavailable(true)
				f.setIsolated("qld-tsv", false)
			},
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := sevenEntries()
				defer f.close()
				time.Sleep(30 * time.Second)
				if tc.before != nil {
					tc.before(t, f)
				}
				number := applyPatch(t, f.members[tc.patcher])
				if tc.after != nil {
					tc.after(t, f)
				}
				time.Sleep(inForceLimit)
				checked := f.members
				if tc.skipped > 0 {
					checked = f.members[tc.skipped:]
				}
				require.Empty(t, outdated(checked, number))
			})
		})
	}
}

// placement returns a placement of one replica.
func placement(revision uint64) *wire.Placement {
	return &wire.Placement{
		DataCentre: "qld-bne", Domain: "f1", Revision: revision, Generation: revision,
		Replicas: []*wire.Replica{{Name: "forms/f1/1", Members: []string{"e1", "e2"}, Generation: revision}},
	}
}

// writePlacement writes a placement to the platform.
func writePlacement(t *testing.T, s *standin.Store, p *wire.Placement) {
	t.Helper()
	value, err := protojson.Marshal(p)
	require.NoError(t, err)
	old, _ := s.Get(context.Background(), placementtracker.PlacementKey(p))
	_, err = s.Update(context.Background(), placementtracker.PlacementKey(p), old.Version, value)
	require.NoError(t, err)
}

// A placement reaches every process, including those that never read the platform
// themselves and one that starts while the platform is unavailable.
func TestPlacementReachesAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := sevenEntries()
		defer f.close()
		time.Sleep(30 * time.Second)
		for revision := uint64(1); revision <= 3; revision++ {
			writePlacement(t, f.store, placement(revision))
			time.Sleep(inForceLimit)
			for _, m := range f.members {
				require.Equal(t, revision, m.placements.View().Placements()["placement/qld-bne/f1"].GetRevision(), m.name)
			}
		}
		f.store.SetUnavailable(true)
		time.Sleep(10 * time.Minute)
		added := f.add("qld-cns", 9, "qld-bne-000:1")
		time.Sleep(inForceLimit)
		require.EqualValues(t, 3, added.placements.View().Placements()["placement/qld-bne/f1"].GetRevision())
	})
}

// An instance that one process finds to be leaving counts as leaving in every process for as
// long as that process reports it, and no longer counts as leaving afterwards.
func TestLeavingInstanceReachesAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := sevenEntries()
		defer f.close()
		time.Sleep(30 * time.Second)
		f.members[5].leaving.Store(&map[string]string{"e1": "boot-1"})
		time.Sleep(4 * time.Second)
		for _, m := range f.members {
			boot, ok := m.replicator.Leaving("e1")
			require.True(t, ok, m.name)
			require.Equal(t, "boot-1", boot)
		}
		time.Sleep(time.Minute)
		for _, m := range f.members {
			_, ok := m.replicator.Leaving("e1")
			require.True(t, ok, "%s forgot an instance that is still leaving", m.name)
		}
		f.members[5].leaving.Store(nil)
		time.Sleep(time.Minute)
		for _, m := range f.members {
			_, ok := m.replicator.Leaving("e1")
			require.False(t, ok, m.name)
		}
	})
}

// Each process lists every process with the number of its configuration in force.
func TestProcessesListConfigurationNumbers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := sevenEntries()
		defer f.close()
		time.Sleep(30 * time.Second)
		number := applyPatch(t, f.members[2])
		time.Sleep(inForceLimit)
		for _, m := range f.members {
			records := m.replicator.Processes(context.Background())
			require.Len(t, records, len(f.members))
			for _, r := range records {
				require.Equal(t, number, r.GetConfigurationNumber(), "%s of %s", m.name, r.GetName())
			}
		}
	})
}

// The addresses of processes that have started again elsewhere are not remembered as
// unreachable for ever.
func TestUnreachableAddressesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		m := f.add("qld-bne", 0)
		for start := range 100 {
			m.replicator.AddUnverified(t.Context(), []*wire.ProcessRecord{{
				Name: "ghost", Role: "entry", DataCentre: "qld-bne", PeerAddress: fmt.Sprintf("ghost:%d", start+1), StartedUnixMs: int64(start + 1),
			}})
			time.Sleep(3 * time.Second)
		}
		time.Sleep(20 * time.Second)
		f.close()
		require.LessOrEqual(t, m.replicator.UnreachableCount(), 1)
	})
}
