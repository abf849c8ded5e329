package enumerator_test

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// store keeps revisions only.
type store struct {
	mu        sync.Mutex
	revision  uint64
	revisions map[string]uint64
}

func (s *store) set(key string, ok bool) (uint64, error) {
	if !ok {
		return 0, storer.ErrConflict
	}
	s.revision++
	s.revisions[key] = s.revision
	return s.revision, nil
}

func (s *store) Create(_ context.Context, key string, _ []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key, s.revisions[key] == 0)
}

func (s *store) Update(_ context.Context, key string, version uint64, _ []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key, s.revisions[key] == version)
}

func (s *store) Delete(_ context.Context, key string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revisions[key] != version {
		return storer.ErrConflict
	}
	delete(s.revisions, key)
	return nil
}

func (s *store) Get(_ context.Context, key string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storer.Object{Key: key, Version: s.revisions[key]}, nil
}

func (s *store) Revisions(context.Context, string) (map[string]uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.revisions), nil
}

// A process that stops counts no more at once, and one that is killed does so
// once it is not renewed any more.
func TestCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revisions: make(map[string]uint64)}
		_, err := s.Create(t.Context(), enumerator.Kind+"/8", []byte("{}")) // killed before it could remove its object
		assert.NoError(t, err)
		list := make([]*enumerator.Enumerator, 3)
		stops := make([]context.CancelFunc, 3)
		for i := range list {
			var ctx context.Context
			ctx, stops[i] = context.WithCancel(t.Context())
			list[i] = &enumerator.Enumerator{Store: s, Name: strconv.Itoa(i), Expected: 7}
			go list[i].Run(ctx)
		}
		assert.Equal(t, 7, list[0].Count())
		time.Sleep(3 * time.Second)
		assert.Equal(t, 4, list[0].Count())
		stops[2]()
		time.Sleep(11 * time.Second)
		assert.Equal(t, 3, list[0].Count())
		time.Sleep(4 * time.Minute)
		assert.Equal(t, 2, list[0].Count())
		stops[0]()
		stops[1]()
	})
}
