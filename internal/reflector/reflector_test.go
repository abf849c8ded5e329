package reflector_test

import (
	"context"
	"errors"
	"flag"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
)

// source is a store that, at random, changes, compacts its history, fails, and lists
// an old revision.
type source struct {
	t        *rapid.T
	revision uint64
	values   map[string]int
	history  []reflector.Change[int]
	// compacted is the revision before which the history is compacted.
	compacted uint64
	// states are the values at each revision.
	states map[uint64]map[string]int
	// callsLeft is the number of calls until stop is called.
	callsLeft int
	stop      context.CancelFunc
}

// change writes or removes a random object.
func (s *source) change() {
	c := reflector.Change[int]{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "name"), Value: int(s.revision), Deleted: rapid.Bool().Draw(s.t, "deleted")}
	s.revision++
	s.history = append(s.history, c)
	s.values = maps.Clone(s.values)
	if c.Deleted {
		delete(s.values, c.Name)
	} else {
		s.values[c.Name] = c.Value
	}
	s.states[s.revision] = s.values
}

// step changes the store at random before a call, and returns the error with which
// the call fails.
func (s *source) step() error {
	if s.callsLeft--; s.callsLeft <= 0 {
		s.stop()
		return context.Canceled
	}
	for range rapid.IntRange(0, 2).Draw(s.t, "changes") {
		s.change()
	}
	switch rapid.IntRange(0, 7).Draw(s.t, "fault") {
	case 0:
		return errors.New("store unavailable")
	case 1:
		s.compacted = s.revision
	}
	return nil
}

func (s *source) List(context.Context) (reflector.Listing[int], error) {
	if err := s.step(); err != nil {
		return reflector.Listing[int]{}, err
	}
	// The list may be up to three revisions old.
	at := s.revision - min(s.revision-1, rapid.Uint64Range(0, 3).Draw(s.t, "age"))
	return reflector.Listing[int]{Values: maps.Clone(s.states[at]), Revision: at}, nil
}

func (s *source) Watch(_ context.Context, after uint64, _ time.Duration) (reflector.Changes[int], error) {
	if err := s.step(); err != nil {
		return reflector.Changes[int]{}, err
	}
	if after < s.compacted {
		return reflector.Changes[int]{}, reflector.ErrCompacted
	}
	return reflector.Changes[int]{Changes: s.history[after-1 : s.revision-1], Revision: s.revision}, nil
}

// Under random failures, compactions and stale lists, each published copy equals the
// store's state at its revision, and revisions never decrease.
func TestPublishedCopiesMatchStore(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
		require.NoError(t, flag.Set("rapid.checks", "100"))
	}
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &source{t: rt, revision: 1, values: map[string]int{}, states: map[uint64]map[string]int{1: {}}, callsLeft: 30, stop: cancel}
			last := uint64(0)
			r := &reflector.Reflector[int]{Kind: "k", Source: s, Publish: func(revision uint64, values map[string]int) {
				assert.GreaterOrEqual(t, revision, last)
				last = revision
				assert.Equal(t, s.states[revision], values)
			}}
			r.Run(ctx)
		})
	})
}

// script is a source that returns the next entry of lists from each call of List,
// where nil makes the call fail, and changes from the first call of Watch.
type script struct {
	lists   []map[string]int
	calls   int
	changes []reflector.Change[int]
}

func (s *script) List(context.Context) (reflector.Listing[int], error) {
	l := s.lists[min(s.calls, len(s.lists)-1)]
	s.calls++
	if l == nil {
		return reflector.Listing[int]{}, errors.New("store unavailable")
	}
	return reflector.Listing[int]{Values: maps.Clone(l), Revision: uint64(s.calls)}, nil
}

func (s *script) Watch(_ context.Context, after uint64, wait time.Duration) (reflector.Changes[int], error) {
	time.Sleep(wait)
	c := s.changes
	s.changes = nil
	return reflector.Changes[int]{Changes: c, Revision: after}, nil
}

// An entry that expired during an outage of the store stays in the copy for
// RemovalGrace after the store's recovery, and is then dropped.
func TestRemovalGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s := &script{lists: []map[string]int{nil, {"a": 1, "b": 2}}, changes: []reflector.Change[int]{{Name: "a", Deleted: true}}}
		lastSeen := make(map[string]time.Duration)
		began := time.Now()
		r := &reflector.Reflector[int]{Kind: "k", Source: s, RemovalGrace: 3 * time.Second, Publish: func(_ uint64, values map[string]int) {
			for n := range values {
				lastSeen[n] = time.Since(began)
			}
		}}
		r.Run(ctx)
		assert.Contains(t, lastSeen, "b")
		assert.Less(t, lastSeen["a"], 8*time.Second)
	})
}

// compacted is a source that lists, and then no longer has the history of any watch.
type compacted struct{ calls int }

func (c *compacted) List(context.Context) (reflector.Listing[int], error) {
	c.calls++
	if c.calls > 1 {
		return reflector.Listing[int]{}, errors.New("store unavailable")
	}
	return reflector.Listing[int]{Revision: 1}, nil
}

func (c *compacted) Watch(context.Context, uint64, time.Duration) (reflector.Changes[int], error) {
	time.Sleep(time.Second)
	return reflector.Changes[int]{}, reflector.ErrCompacted
}

// An answer that the history is gone does not make the copy any newer.
func TestCompactedHistoryIsNoFreshCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		var answers []time.Duration
		r := &reflector.Reflector[int]{
			Kind: "k", Source: &compacted{}, Publish: func(uint64, map[string]int) {},
			OnAnswer: func(now time.Time) { answers = append(answers, now.Sub(began)) },
		}
		r.Run(ctx)
		assert.Equal(t, []time.Duration{0}, answers)
	})
}
