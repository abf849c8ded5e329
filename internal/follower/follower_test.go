package follower_test

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

	"github.com/lycheebarrow/lycheebarrow/internal/follower"
)

// source is a store that changes, forgets, fails and answers from the past.
type source struct {
	t        *rapid.T
	revision uint64
	values   map[string]int
	history  []follower.Change[int]
	floor    uint64
	// past are the values at each revision.
	past map[uint64]map[string]int
	left int
	stop context.CancelFunc
}

// change writes or removes an object.
func (s *source) change() {
	c := follower.Change[int]{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "name"), Value: int(s.revision), Deleted: rapid.Bool().Draw(s.t, "deleted")}
	s.revision++
	s.history = append(s.history, c)
	s.values = maps.Clone(s.values)
	if c.Deleted {
		delete(s.values, c.Name)
	} else {
		s.values[c.Name] = c.Value
	}
	s.past[s.revision] = s.values
}

// trouble changes the store and says whether a call fails.
func (s *source) trouble() error {
	if s.left--; s.left <= 0 {
		s.stop()
		return context.Canceled
	}
	for range rapid.IntRange(0, 2).Draw(s.t, "changes") {
		s.change()
	}
	switch rapid.IntRange(0, 7).Draw(s.t, "trouble") {
	case 0:
		return errors.New("away")
	case 1:
		s.floor = s.revision
	}
	return nil
}

func (s *source) List(context.Context) (follower.Listing[int], error) {
	if err := s.trouble(); err != nil {
		return follower.Listing[int]{}, err
	}
	// A list may be as old as it likes.
	at := s.revision - min(s.revision-1, rapid.Uint64Range(0, 3).Draw(s.t, "age"))
	return follower.Listing[int]{Values: maps.Clone(s.past[at]), Revision: at}, nil
}

func (s *source) Watch(_ context.Context, after uint64, _ time.Duration) (follower.Changes[int], error) {
	if err := s.trouble(); err != nil {
		return follower.Changes[int]{}, err
	}
	if after < s.floor {
		return follower.Changes[int]{}, follower.ErrCompacted
	}
	return follower.Changes[int]{Changes: s.history[after-1 : s.revision-1], Revision: s.revision}, nil
}

// Whatever a store does, each copy that is published is what the store held at
// its revision, and revisions never go back.
func TestFollow(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1"))
		require.NoError(t, flag.Set("rapid.checks", "100"))
	}
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &source{t: rt, revision: 1, values: map[string]int{}, past: map[uint64]map[string]int{1: {}}, left: 30, stop: cancel}
			last := uint64(0)
			f := &follower.Follower[int]{Kind: "k", Source: s, Publish: func(revision uint64, values map[string]int) {
				assert.GreaterOrEqual(t, revision, last)
				last = revision
				assert.Equal(t, s.past[revision], values)
			}}
			f.Run(ctx)
		})
	})
}

// script answers lists and watches from a list of functions.
type script struct {
	lists   []map[string]int
	calls   int
	changes []follower.Change[int]
}

func (s *script) List(context.Context) (follower.Listing[int], error) {
	l := s.lists[min(s.calls, len(s.lists)-1)]
	s.calls++
	if l == nil {
		return follower.Listing[int]{}, errors.New("away")
	}
	return follower.Listing[int]{Values: maps.Clone(l), Revision: uint64(s.calls)}, nil
}

func (s *script) Watch(_ context.Context, after uint64, wait time.Duration) (follower.Changes[int], error) {
	time.Sleep(wait)
	c := s.changes
	s.changes = nil
	return follower.Changes[int]{Changes: c, Revision: after}, nil
}

// An entry that lapsed while the store was away is shown for Keep after its
// return, and then goes.
func TestKeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s := &script{lists: []map[string]int{nil, {"a": 1, "b": 2}}, changes: []follower.Change[int]{{Name: "a", Deleted: true}}}
		shown := make(map[string]time.Duration)
		began := time.Now()
		f := &follower.Follower[int]{Kind: "k", Source: s, RemovalGrace: 3 * time.Second, Publish: func(_ uint64, values map[string]int) {
			for n := range values {
				shown[n] = time.Since(began)
			}
		}}
		f.Run(ctx)
		assert.Contains(t, shown, "b")
		assert.Less(t, shown["a"], 8*time.Second)
	})
}
