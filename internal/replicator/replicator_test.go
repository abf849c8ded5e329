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
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// limit is how long an accepted patch may take to be in force everywhere.
const limit = 7 * time.Second

// sevenEntries are the entries of today: three data centres, seven entries.
func sevenEntries() *fleet {
	f := newFleet()
	for i, dc := range []string{"qld-bne", "qld-tsv", "qld-cns", "qld-bne", "qld-tsv", "qld-cns", "qld-bne"} {
		f.add(dc, i, "qld-bne-000:1")
	}
	return f
}

// patch accepts a patch in the process and returns its number.
func patch(t *testing.T, m *member) uint64 {
	t.Helper()
	base := m.configuration.Current().Number()
	c, err := m.configuration.Patch(context.Background(), configurer.Patch{
		ID: fmt.Sprintf("p-%s-%d", m.name, base), Base: base, Author: "ann", Reason: "test",
		Merge: json.RawMessage(fmt.Sprintf(`{"policy":{"max_queue":%d}}`, 100+base)),
	})
	require.NoError(t, err)
	return c.GetNumber()
}

func TestPatchInForce(t *testing.T) {
	testCases := []struct {
		name string
		// before runs on the fleet ahead of the patch, after right after it.
		before, after func(t *testing.T, f *fleet)
		// without is how many of the first processes are not looked at, since they
		// don't run at the end.
		without int
		// patcher takes the patch.
		patcher int
	}{
		{name: "all well"},
		{
			name: "readers die with the patch",
			after: func(_ *testing.T, f *fleet) {
				// The two readers of the first data centre.
				f.members[0].stop()
				f.members[3].stop()
			},
			without: 4,
		},
		{
			name: "readers die while peers of other data centres are out of reach",
			before: func(_ *testing.T, f *fleet) {
				f.sever()
				f.members[0].stop()
				f.members[3].stop()
			},
			without: 4,
			patcher: 1,
		},
		{
			name: "data centre comes back when its seed is gone and the platform is out",
			before: func(_ *testing.T, f *fleet) {
				f.setCut("qld-tsv", true)
				time.Sleep(20 * time.Minute)
				f.members[0].stop()
			},
			after: func(_ *testing.T, f *fleet) {
				time.Sleep(time.Minute)
				f.store.SetOut(true)
				f.setCut("qld-tsv", false)
			},
			without: 1,
			patcher: 2,
		},
		{
			name: "entry starts during an outage of the platform",
			after: func(_ *testing.T, f *fleet) {
				time.Sleep(time.Second)
				f.store.SetOut(true)
				f.add("qld-tsv", 8, "qld-bne-000:1", "qld-bne-003:1")
			},
		},
		{
			name:   "data centre is cut off and comes back after a minute",
			before: func(_ *testing.T, f *fleet) { f.setCut("qld-tsv", true); time.Sleep(time.Minute) },
			after:  func(_ *testing.T, f *fleet) { time.Sleep(time.Minute); f.setCut("qld-tsv", false) },
		},
		{
			name:   "data centre comes back after twenty minutes while the platform is out",
			before: func(_ *testing.T, f *fleet) { f.setCut("qld-tsv", true); time.Sleep(20 * time.Minute) },
			after: func(_ *testing.T, f *fleet) {
				time.Sleep(time.Minute)
				f.store.SetOut(true)
				f.setCut("qld-tsv", false)
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
				number := patch(t, f.members[tc.patcher])
				if tc.after != nil {
					tc.after(t, f)
				}
				time.Sleep(limit)
				live := f.members
				if tc.without > 0 {
					live = f.members[tc.without:]
				}
				require.Empty(t, behind(live, number))
			})
		})
	}
}

func placement(revision uint64) *wire.Placement {
	return &wire.Placement{
		DataCentre: "qld-bne", Domain: "f1", Revision: revision, Generation: revision,
		Replicas: []*wire.Replica{{Name: "forms/f1/1", Members: []string{"e1", "e2"}, Generation: revision}},
	}
}

func write(t *testing.T, s *standin.Store, p *wire.Placement) {
	t.Helper()
	value, err := protojson.Marshal(p)
	require.NoError(t, err)
	old, _ := s.Get(context.Background(), watcher.PlacementKey(p))
	_, err = s.Update(context.Background(), watcher.PlacementKey(p), old.Version, value)
	require.NoError(t, err)
}

// A placement reaches every process, also those that never read the platform
// themselves, and a process that starts during an outage.
func TestPlacementReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := sevenEntries()
		defer f.close()
		time.Sleep(30 * time.Second)
		for revision := uint64(1); revision <= 3; revision++ {
			write(t, f.store, placement(revision))
			time.Sleep(limit)
			for _, m := range f.members {
				require.Equal(t, revision, m.placements.View().Placements()["placement/qld-bne/f1"].GetRevision(), m.name)
			}
		}
		f.store.SetOut(true)
		time.Sleep(10 * time.Minute)
		late := f.add("qld-cns", 9, "qld-bne-000:1")
		time.Sleep(limit)
		require.EqualValues(t, 3, late.placements.View().Placements()["placement/qld-bne/f1"].GetRevision())
	})
}

// What one process finds to leave closes it to new work everywhere, and an
// instance that no longer leaves is forgotten.
func TestLeavingReachesAll(t *testing.T) {
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
			require.True(t, ok, "%s forgot an instance that still leaves", m.name)
		}
		f.members[5].leaving.Store(nil)
		time.Sleep(time.Minute)
		for _, m := range f.members {
			_, ok := m.replicator.Leaving("e1")
			require.False(t, ok, m.name)
		}
	})
}

// Each process lists all others with the number that they run.
func TestProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := sevenEntries()
		defer f.close()
		time.Sleep(30 * time.Second)
		number := patch(t, f.members[2])
		time.Sleep(limit)
		for _, m := range f.members {
			records := m.replicator.Processes(context.Background())
			require.Len(t, records, len(f.members))
			for _, r := range records {
				require.Equal(t, number, r.GetConfigurationNumber(), "%s of %s", m.name, r.GetName())
			}
		}
	})
}
