package recorder_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// fault is what goes wrong with one write to the fakeStore.
type fault string

const (
	_faultNone   fault = ""
	_faultRefuse fault = "refuse" // not written, and an error says so
	_faultLose   fault = "lose"   // written, but the response is lost
	_faultDrop   fault = "drop"   // not written, and no response
	_faultLate   fault = "late"   // no response, and written _lateWriteDelay later
)

// _lateWriteDelay is how much later a late write takes effect.
const _lateWriteDelay = 1300 * time.Millisecond

// fakeStore is the platform's object API in memory. The zero value is ready for
// use.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]storer.Object
	version uint64
	// writeFaults are the faults of the next writes, one each.
	writeFaults []fault
	readsFail   bool
	writeCount  int
}

// setFaults sets the faults of the next writes, one each, and whether reads fail.
func (s *fakeStore) setFaults(readsFail bool, writeFaults ...fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsFail, s.writeFaults = readsFail, writeFaults
}

// nextFault counts a write and returns its fault. The caller holds the lock.
func (s *fakeStore) nextFault() fault {
	s.writeCount++
	if len(s.writeFaults) == 0 {
		return _faultNone
	}
	f := s.writeFaults[0]
	s.writeFaults = s.writeFaults[1:]
	return f
}

func (s *fakeStore) Get(_ context.Context, key string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readsFail {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(poll) {
		if o, err := s.Get(ctx, key); err == nil && o.Version > after {
			return o, nil
		}
	}
	return storer.Object{}, storer.ErrUnchanged
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []storer.Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, o)
		}
	}
	return out, nil
}

func (s *fakeStore) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return s.write(key, 0, value)
}

func (s *fakeStore) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	return s.write(key, version, value)
}

func (s *fakeStore) Delete(_ context.Context, key string, version uint64) error {
	_, err := s.write(key, version, nil)
	return err
}

func (s *fakeStore) write(key string, version uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.nextFault() {
	case _faultRefuse:
		return 0, storer.ErrUnavailable
	case _faultDrop:
		return 0, storer.ErrUncertain
	case _faultLate:
		time.AfterFunc(_lateWriteDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(key, version, value)
		})
		return 0, storer.ErrUncertain
	case _faultLose:
		_, _ = s.apply(key, version, value)
		return 0, storer.ErrUncertain
	default:
		return s.apply(key, version, value)
	}
}

// apply writes the value, or deletes the object if it is nil. The caller holds the
// lock.
func (s *fakeStore) apply(key string, version uint64, value []byte) (uint64, error) {
	if s.objects[key].Version != version {
		return 0, storer.ErrConflict
	}
	if s.objects == nil {
		s.objects = make(map[string]storer.Object)
	}
	s.version++
	if value == nil {
		delete(s.objects, key)
	} else {
		s.objects[key] = storer.Object{Key: key, Version: s.version, Value: value}
	}
	return s.version, nil
}
