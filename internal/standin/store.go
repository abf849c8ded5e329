package standin

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// WriteFault is the fault that one write to a Store meets.
type WriteFault int

// Faults of a write.
const (
	WriteFaultNone         WriteFault = iota
	WriteFaultResponseLost            // the write takes effect and its response is lost
	WriteFaultRequestLost             // the write has no effect and its writer gets no response
	WriteFaultThrottled               // the write is refused by the rate limit
)

// Store is the object API of the platform without a network, for tests of single
// packages that use the API through an interface. Make it with NewStore. It is safe for
// concurrent use.
type Store struct {
	mu          sync.Mutex
	unavailable bool
	stale       bool
	writeFaults []WriteFault
	version     uint64
	objects     map[string]storer.Object
	previous    map[string]storer.Object // the version before the newest one
	changed     chan struct{}            // closed at the next write
	calls       map[string]int           // number of calls by kind
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{
		objects: make(map[string]storer.Object), previous: make(map[string]storer.Object),
		changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// SetUnavailable sets whether the store refuses every call.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// SetStale sets whether reads of one object return the version before the newest one.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
}

// SetWriteFaults sets the faults of the next writes, in order.
func (s *Store) SetWriteFaults(writeFaults ...WriteFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeFaults = writeFaults
}

// CallCount returns the number of calls so far, refused ones included.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.calls {
		n += k
	}
	return n
}

// countCall counts a call and returns ErrUnavailable while the store is unavailable.
// The caller holds the lock.
func (s *Store) countCall(kind string) error {
	s.calls[kind]++
	if s.unavailable {
		return storer.ErrUnavailable
	}
	return nil
}

// lookUp returns the object that a read sees. The caller holds the lock.
func (s *Store) lookUp(key string) storer.Object {
	if s.stale {
		return s.previous[key]
	}
	return s.objects[key]
}

// Get reads an object. It returns ErrNotFound if there is none.
func (s *Store) Get(_ context.Context, key string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("get"); err != nil {
		return storer.Object{}, err
	}
	o := s.lookUp(key)
	if o.Version == 0 {
		return o, storer.ErrNotFound
	}
	return o, nil
}

// Watch waits for a version of the object above after. It returns ErrUnchanged if none
// comes within wait.
func (s *Store) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("watch"); err != nil {
		return storer.Object{}, err
	}
	for {
		if o := s.lookUp(key); o.Version > after {
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
		if s.unavailable {
			err = storer.ErrUnavailable
		}
		if err != nil {
			return storer.Object{}, err
		}
	}
}

// List reads the objects whose key starts with prefix, in no particular order.
func (s *Store) List(_ context.Context, prefix string) ([]storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("list"); err != nil {
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

// Instances returns an empty list; it counts as a call.
func (s *Store) Instances(context.Context) ([]storer.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.countCall("instances")
}

// Create writes a new object. It returns ErrConflict if the object exists.
func (s *Store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, 0, value)
}

// Update replaces an object if version is its current one, and returns the new version.
// An object that doesn't exist has version 0.
// It returns ErrConflict if the version differs, and ErrUncertain if the fault of the
// write loses the request or the response.
func (s *Store) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("write"); err != nil {
		return 0, err
	}
	fault := WriteFaultNone
	if len(s.writeFaults) > 0 {
		fault, s.writeFaults = s.writeFaults[0], s.writeFaults[1:]
	}
	switch {
	case fault == WriteFaultRequestLost:
		return 0, storer.ErrUncertain
	case fault == WriteFaultThrottled:
		return 0, storer.ErrUnavailable
	case s.objects[key].Version != version && fault == WriteFaultResponseLost:
		return 0, storer.ErrUncertain
	case s.objects[key].Version != version:
		return 0, storer.ErrConflict
	}
	s.version++
	s.previous[key] = s.objects[key]
	s.objects[key] = storer.Object{Key: key, Version: s.version, Value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	if fault == WriteFaultResponseLost {
		return 0, storer.ErrUncertain
	}
	return s.version, nil
}
