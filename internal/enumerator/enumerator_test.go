package enumerator_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// store is an in-memory store with a revision for each object.
type store struct {
	mu        sync.Mutex
	revision  uint64
	revisions map[string]uint64
	values    map[string][]byte
	lists     int // calls of Objects
	writes    int // calls of Create and Update
}

func (s *store) put(key string, value []byte, allowed bool) (uint64, error) {
	s.writes++
	if !allowed {
		return 0, storer.ErrConflict
	}
	s.revision++
	s.revisions[key] = s.revision
	s.values[key] = value
	return s.revision, nil
}

func (s *store) Create(_ context.Context, key string, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, s.revisions[key] == 0)
}

func (s *store) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, s.revisions[key] == version)
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

func (s *store) Objects(context.Context, string) (map[string]storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	out := make(map[string]storer.Object)
	for key, r := range s.revisions {
		_, name, _ := strings.Cut(key, "/")
		out[name] = storer.Object{Version: r, Value: s.values[key]}
	}
	return out, nil
}

func (s *store) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

func (s *store) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// A process that stops is soon no longer counted, since it removes its object. One
// that is killed is no longer counted once its object has expired.
func TestCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revisions: make(map[string]uint64), values: make(map[string][]byte)}
		_, err := s.Create(t.Context(), enumerator.Kind+"/8", []byte("{}")) // killed before it could remove its object
		assert.NoError(t, err)
		enumerators := make([]*enumerator.Enumerator, 3)
		stops := make([]context.CancelFunc, 3)
		for i := range enumerators {
			var ctx context.Context
			ctx, stops[i] = context.WithCancel(t.Context())
			enumerators[i] = &enumerator.Enumerator{Store: s, Name: strconv.Itoa(i), InitialCount: 7, RequestRate: func() float64 { return float64(i) * 10 }}
			go enumerators[i].Run(ctx)
		}
		assert.Equal(t, 7, enumerators[0].Count())
		time.Sleep(3 * time.Second)
		assert.Equal(t, 4, enumerators[0].Count())
		time.Sleep(5 * time.Second)
		share, known := enumerators[1].Share()
		assert.True(t, known)
		assert.InDelta(t, 1.0/3, share, 0.01)
		stops[2]()
		time.Sleep(11 * time.Second)
		assert.Equal(t, 3, enumerators[0].Count())
		time.Sleep(4 * time.Minute)
		assert.Equal(t, 2, enumerators[0].Count())
		stops[0]()
		stops[1]()
	})
}

// A process that starts again soon takes over the object of its earlier run without a
// write, and renews it in time. With another address it replaces the object at once.
func TestObjectOfEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revisions: make(map[string]uint64), values: make(map[string][]byte)}
		run := func(address string, d time.Duration) {
			// The store outlives the process, whose last call to it fails as in a kill.
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			e := &enumerator.Enumerator{Store: killedStore{s}, Name: "a", DataCentre: "d", Address: address}
			e.Run(ctx)
		}
		run("10.0.0.1:1", 10*time.Second)
		assert.Equal(t, 1, s.writeCount())
		run("10.0.0.1:1", 10*time.Second)
		assert.Equal(t, 1, s.writeCount())
		run("10.0.0.1:1", time.Minute)
		assert.Equal(t, 2, s.writeCount())
		run("10.0.0.1:2", 10*time.Second)
		assert.Equal(t, 3, s.writeCount())
	})
}

// killedStore is a store on which a process that ends removes nothing.
type killedStore struct{ *store }

func (killedStore) Delete(context.Context, string, uint64) error { return storer.ErrUnavailable }

// A process that receives the list of processes, or a confirmation of its own, reads it
// from the store only at its start. It reads again soon after the last one.
func TestReceivedListIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revisions: make(map[string]uint64), values: make(map[string][]byte)}
		ctx, cancel := context.WithCancel(t.Context())
		e := &enumerator.Enumerator{Store: s, Name: "a", DataCentre: "d", Address: "10.0.0.1:1", ProcessorShare: 0.4}
		go e.Run(ctx)
		list := enumerator.NewMembers([]enumerator.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}})
		time.Sleep(time.Second)
		e.Receive(list, time.Now())
		for range 10 {
			time.Sleep(4 * time.Second)
			e.Confirm(time.Now())
		}
		assert.Equal(t, 3, e.Count())
		assert.Equal(t, list, e.Members())
		assert.False(t, e.HasReadList(time.Now()))
		assert.Equal(t, 1, s.listCount())
		time.Sleep(13 * time.Second)
		assert.Equal(t, 1, e.Count())
		assert.True(t, e.HasReadList(time.Now()))
		assert.Equal(t, []enumerator.Peer{{Name: "a", DataCentre: "d", Address: "10.0.0.1:1", ProcessorShare: 0.4}}, e.Members().Peers())
		cancel()
	})
}

// readOnlyStore refuses to create objects.
type readOnlyStore struct{ *store }

func (readOnlyStore) Create(context.Context, string, []byte) (uint64, error) {
	return 0, storer.ErrUnavailable
}

// A process that the others can't count does not take part in what they divide.
func TestUnregisteredProcessIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revisions: make(map[string]uint64), values: make(map[string][]byte)}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		a := &enumerator.Enumerator{Store: s, Name: "a"}
		b := &enumerator.Enumerator{Store: readOnlyStore{s}, Name: "b"}
		group.Go(func() { a.Run(ctx) })
		group.Go(func() { b.Run(ctx) })
		time.Sleep(20 * time.Second)
		assert.True(t, a.Counted())
		assert.False(t, b.Counted())
		cancel()
		group.Wait()
	})
}
