package replicator_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// store is the platform's object API without a network. It counts its calls.
type store struct {
	mu      sync.Mutex
	out     bool
	version uint64
	objects map[string]storer.Object
	changed chan struct{}
	calls   map[string]int
}

func newStore() *store {
	return &store{objects: make(map[string]storer.Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

func (s *store) setOut(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
}

// enter counts a call. The caller holds the lock.
func (s *store) enter(kind string) error {
	s.calls[kind]++
	if s.out {
		return storer.ErrUnavailable
	}
	return nil
}

func (s *store) Get(_ context.Context, key string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("get"); err != nil {
		return storer.Object{}, err
	}
	o, ok := s.objects[key]
	if !ok {
		return o, storer.ErrNotFound
	}
	return o, nil
}

func (s *store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("watch"); err != nil {
		return storer.Object{}, err
	}
	for {
		if o := s.objects[key]; o.Version > after {
			return o, nil
		}
		changed := s.changed
		s.mu.Unlock()
		var err error
		select {
		case <-changed:
		case <-timer.C:
			err = storer.ErrUnchanged
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.mu.Lock()
		if s.out {
			err = storer.ErrUnavailable
		}
		if err != nil {
			return storer.Object{}, err
		}
	}
}

func (s *store) List(_ context.Context, prefix string) ([]storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("list"); err != nil {
		return nil, err
	}
	var out []storer.Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, o)
		}
	}
	return out, nil
}

func (s *store) Instances(context.Context) ([]storer.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.enter("instances")
}

func (s *store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, 0, value)
}

func (s *store) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("write"); err != nil {
		return 0, err
	}
	if s.objects[key].Version != version {
		return 0, storer.ErrConflict
	}
	s.version++
	s.objects[key] = storer.Object{Key: key, Version: s.version, Value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// total returns how many calls came.
func (s *store) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.calls {
		n += k
	}
	return n
}
