package leaser_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// _versionsPerReturn lies above all versions between two returns of the store.
const _versionsPerReturn = 1 << 20

// restore makes the store return to an earlier lease. No version is given out again.
func (s *store) restore(copied storer.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	returns := s.object.Version/_versionsPerReturn + 1
	s.object = storer.Object{Version: returns*_versionsPerReturn + copied.Version%_versionsPerReturn, Value: copied.Value}
}

func (s *store) current() storer.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.object
}

// cutStore is a store that one process can't reach while it is cut off.
type cutStore struct {
	*store
	isCut atomic.Bool
}

func (s *cutStore) Get(ctx context.Context, key string) (storer.Object, error) {
	if s.isCut.Load() {
		return storer.Object{}, storer.ErrUnavailable
	}
	return s.store.Get(ctx, key)
}

func (s *cutStore) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if s.isCut.Load() {
		return 0, storer.ErrUnavailable
	}
	return s.store.Update(ctx, key, version, value)
}

// Guards against two holders: the copy has the lease of a process that still runs, and another one
// has taken it since, as peers tell.
func TestNoTwoHoldersAfterReturnFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &cutStore{store: &store{}}
		first := leaser.New(s, "dc", "first", logger.Logger{})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { first.Run(ctx) })
		time.Sleep(time.Second)
		ofFirst := s.current()
		s.isCut.Store(true)
		second, stopSecond := start(s.store, "second")
		time.Sleep(8 * time.Second)
		require.True(t, second.Held(time.Now()))
		first.ObserveTerm(second.Term())
		s.restore(ofFirst)
		s.isCut.Store(false)
		for range 100 {
			assert.False(t, first.Held(time.Now()) && second.Held(time.Now()))
			time.Sleep(100 * time.Millisecond)
		}
		assert.True(t, first.Held(time.Now()) || second.Held(time.Now()))
		assert.Equal(t, uint64(3), max(first.Term(), second.Term()))
		stopSecond()
		cancel()
		running.Wait()
	})
}

// Guards against a term that is given out twice, or goes down, because the store has come back
// from a copy with an earlier lease.
func TestTermsRiseAfterReturnFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		first, stopFirst := start(s, "first")
		time.Sleep(time.Second)
		ofFirst := s.current()
		stopFirst()
		second, stopSecond := start(s, "second")
		defer stopSecond()
		time.Sleep(8 * time.Second)
		assert.Equal(t, uint64(2), second.Term())
		ofSecond := s.current()

		s.restore(ofFirst) // a lease of a process that has ended
		time.Sleep(8 * time.Second)
		assert.True(t, second.Held(time.Now()))
		assert.Equal(t, uint64(3), second.Term())

		s.restore(ofSecond) // an earlier lease of the holder itself
		time.Sleep(8 * time.Second)
		assert.True(t, second.Held(time.Now()))
		assert.Equal(t, uint64(4), second.Term())

		// Upstreams show a term that the store has lost, while the holder renews its lease.
		second.ObserveTerm(7)
		time.Sleep(8 * time.Second)
		assert.True(t, second.Held(time.Now()))
		assert.Equal(t, uint64(8), second.Term())

		s.restore(ofFirst)
		third, stopThird := start(s, "third")
		defer stopThird()
		third.ObserveTerm(9) // as peers tell
		stopSecond()
		time.Sleep(8 * time.Second)
		assert.True(t, third.Held(time.Now()))
		assert.Equal(t, uint64(10), third.Term())
		assert.Equal(t, uint64(1), first.Term())
	})
}
