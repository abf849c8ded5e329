package standin

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// WriteFault says what becomes of a write whose answer is lost.
type WriteFault int

// Fates of a write.
const (
	WriteFaultNone     WriteFault = iota
	WriteFaultResponseLost       // the write takes effect and its answer is lost
	WriteFaultRequestLost       // the write has no effect and the writer hears nothing
	WriteFaultThrottled      // the write is refused for its rate
)

// Store is the platform's object API without a network, for tests at the
// interfaces. Make it with NewStore. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	out     bool
	stale   bool
	losses  []WriteFault
	version uint64
	objects map[string]storer.Object
	before  map[string]storer.Object
	changed chan struct{}
	calls   map[string]int
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{
		objects: make(map[string]storer.Object), before: make(map[string]storer.Object),
		changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// SetUnavailable refuses every call until it is set back.
func (s *Store) SetUnavailable(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
}

// SetStale answers reads with the version before the newest one.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
}

// SetWriteFaults sets what becomes of the next writes, in order.
func (s *Store) SetWriteFaults(losses ...WriteFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = losses
}

// CallCount returns how many calls came.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.calls {
		n += k
	}
	return n
}

// enter counts a call. The caller holds the lock.
func (s *Store) enter(kind string) error {
	s.calls[kind]++
	if s.out {
		return storer.ErrUnavailable
	}
	return nil
}

// get returns the object as reads see it. The caller holds the lock.
func (s *Store) get(key string) storer.Object {
	if s.stale {
		return s.before[key]
	}
	return s.objects[key]
}

// Get reads an object.
func (s *Store) Get(_ context.Context, key string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("get"); err != nil {
		return storer.Object{}, err
	}
	o := s.get(key)
	if o.Version == 0 {
		return o, storer.ErrNotFound
	}
	return o, nil
}

// Watch waits for a version after the one given.
func (s *Store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("watch"); err != nil {
		return storer.Object{}, err
	}
	for {
		if o := s.get(key); o.Version > after {
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

// List reads the objects with a prefix, in no order.
func (s *Store) List(_ context.Context, prefix string) ([]storer.Object, error) {
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

// Instances returns no instance.
func (s *Store) Instances(context.Context) ([]storer.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.enter("instances")
}

// Create writes a new object.
func (s *Store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, 0, value)
}

// Update replaces an object under the condition of its version.
func (s *Store) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("write"); err != nil {
		return 0, err
	}
	loss := WriteFaultNone
	if len(s.losses) > 0 {
		loss, s.losses = s.losses[0], s.losses[1:]
	}
	switch {
	case loss == WriteFaultRequestLost:
		return 0, storer.ErrUncertain
	case loss == WriteFaultThrottled:
		return 0, storer.ErrUnavailable
	case s.objects[key].Version != version && loss == WriteFaultResponseLost:
		return 0, storer.ErrUncertain
	case s.objects[key].Version != version:
		return 0, storer.ErrConflict
	}
	s.version++
	s.before[key] = s.objects[key]
	s.objects[key] = storer.Object{Key: key, Version: s.version, Value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	if loss == WriteFaultResponseLost {
		return 0, storer.ErrUncertain
	}
	return s.version, nil
}
