package gossiper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/gossiper"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(name, dataCentre string, started int64, sequence uint64) *wire.ProcessRecord {
	return &wire.ProcessRecord{
		Name: name, Role: "entry", DataCentre: dataCentre, PeerAddress: name + ":1", StartedUnixMs: started, Sequence: sequence,
	}
}

func TestTableMerge(t *testing.T) {
	testCases := []struct {
		name     string
		started  int64
		sequence uint64
		age      uint64
		newer    bool
	}{
		{name: "same sequence", started: 10, sequence: 5},
		{name: "lower sequence", started: 10, sequence: 4},
		{name: "higher sequence", started: 10, sequence: 6, newer: true},
		{name: "later start with a lower sequence", started: 11, sequence: 1, newer: true},
		{name: "earlier start with a higher sequence", started: 9, sequence: 100},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var x gossiper.Table
			require.True(t, x.Merge(record("n1", "a", 10, 5), _start))
			require.Equal(t, tc.newer, x.Merge(record("n1", "a", tc.started, tc.sequence), _start))
		})
	}
}

// A process without heartbeats stays known for a day, so that the two sides of a long
// partition find each other again.
func TestTableExpire(t *testing.T) {
	var x gossiper.Table
	x.Merge(record("n1", "a", 10, 5), _start)
	x.Expire(_start.Add(3 * time.Hour))
	require.Len(t, x.Records(_start), 1)
	x.Expire(_start.Add(25 * time.Hour))
	require.Empty(t, x.Records(_start))
}

func TestIsDesignatedReader(t *testing.T) {
	testCases := []struct {
		name     string
		others   []*wire.ProcessRecord
		elapsed  time.Duration
		isReader bool
	}{
		{name: "alone", isReader: true},
		{name: "second", others: []*wire.ProcessRecord{record("n1", "a", 1, 1)}, isReader: true},
		{name: "third", others: []*wire.ProcessRecord{record("n1", "a", 1, 1), record("n2", "a", 1, 1)}},
		{name: "others are in another data centre", others: []*wire.ProcessRecord{record("n1", "b", 1, 1), record("n2", "b", 1, 1)}, isReader: true},
		{name: "others are not live", others: []*wire.ProcessRecord{record("n1", "a", 1, 1), record("n2", "a", 1, 1)}, elapsed: time.Minute, isReader: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			g := gossiper.New(record("n5", "a", 1, 0), 1, _start)
			for _, r := range tc.others {
				g.Table().Merge(r, _start)
			}
			require.Equal(t, tc.isReader, g.IsDesignatedReader(_start.Add(tc.elapsed)))
		})
	}
}

// exchange sends a digest from a to b and the answer back, and returns both. If lost is
// true, the answer does not reach a.
func exchange(a, b *gossiper.Gossiper, from, to string, la, lb gossiper.LocalState, now time.Time, lost bool) (there, back *wire.Digest) {
	there = a.Compose(to, la, now)
	b.Receive(there, lb, now)
	back = b.Compose(from, lb, now)
	if lost {
		a.RecordFailure(to)
		return there, back
	}
	a.Receive(back, la, now)
	return there, back
}

// A placement in an answer that was lost is sent again in a later exchange; one that
// arrived is not sent again.
func TestComposeAfterLostAnswer(t *testing.T) {
	for lost := range 4 {
		a := gossiper.New(record("n1", "a", 1, 0), 1, _start)
		b := gossiper.New(record("n2", "a", 1, 0), 2, _start)
		a.Table().Merge(record("n2", "a", 1, 1), _start)
		p := &wire.Placement{DataCentre: "a", Domain: "f1", Revision: 4}
		lb := gossiper.LocalState{Placements: map[string]*wire.Placement{"placement/a/f1": p}}
		b.Update(lb, _start)
		var la gossiper.LocalState
		now := _start.Add(time.Minute)
		for i := range 5 {
			now = now.Add(time.Second)
			_, back := exchange(a, b, "n1", "n2", la, lb, now, i == lost)
			if i == lost {
				continue
			}
			for _, x := range back.GetPlacements() {
				la.Placements = map[string]*wire.Placement{"placement/a/f1": x}
			}
			a.Update(la, now)
		}
		require.EqualValues(t, 4, la.Placements["placement/a/f1"].GetRevision(), "exchange %d was lost", lost)
		_, back := exchange(a, b, "n1", "n2", la, lb, now.Add(time.Second), false)
		require.Empty(t, back.GetPlacements())
		require.Empty(t, back.GetMarks())
	}
}

// A peer that can't apply the whole configuration is sent it only every 10 s.
func TestComposePausesForRefusedConfiguration(t *testing.T) {
	a := gossiper.New(record("n1", "a", 1, 0), 1, _start)
	b := gossiper.New(record("n2", "a", 1, 0), 2, _start)
	a.Table().Merge(record("n2", "a", 1, 1), _start)
	la := gossiper.LocalState{Configuration: &wire.ConfigurationRecord{Number: 3, Document: "{}"}}
	a.Update(la, _start)
	whole := 0
	for i := range 30 {
		there, _ := exchange(a, b, "n1", "n2", la, gossiper.LocalState{}, _start.Add(time.Duration(i)*time.Second), false)
		if there.GetConfiguration() != nil {
			whole++
		}
	}
	require.Equal(t, 3, whole, "once in ten seconds")
}
