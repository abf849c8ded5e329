package leaser_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// store is a fake platform with one lease object.
type store struct {
	mu            sync.Mutex
	object        storer.Object
	unavailable   bool
	loseResponses bool
	reads         int
}

func (s *store) set(unavailable, loseResponses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable, s.loseResponses = unavailable, loseResponses
}

// readCount returns the number of calls of Get.
func (s *store) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *store) Get(context.Context, string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch {
	case s.unavailable:
		return storer.Object{}, storer.ErrUnavailable
	case s.object.Version == 0:
		return storer.Object{}, storer.ErrNotFound
	}
	return s.object, nil
}

func (s *store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, 0, value)
}

func (s *store) Update(_ context.Context, _ string, version uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return 0, storer.ErrUnavailable
	case s.object.Version != version:
		return 0, storer.ErrConflict
	}
	s.object = storer.Object{Version: version + 1, Value: value}
	if s.loseResponses {
		return 0, storer.ErrUncertain
	}
	return s.object.Version, nil
}

// Two processes compete for the lease under a fault for ten seconds. At no time do both
// hold it.
func TestAtMostOneHolder(t *testing.T) {
	testCases := []struct {
		name  string
		fault func(s *store, stop func(), first *leaser.Leaser)
		// wantFirst says whether the first process holds the lease at the end, and
		// wantTerm is the term of the lease at the end.
		wantFirst bool
		wantTerm  uint64
		// wantHeld is the number of tenths of a second in which either process held it.
		wantHeld int
	}{
		{"no fault", func(*store, func(), *leaser.Leaser) {}, true, 1, 100},
		{"responses lost", func(s *store, _ func(), _ *leaser.Leaser) { s.set(false, true) }, true, 1, 100},
		{"platform unavailable for 6 s", func(s *store, _ func(), _ *leaser.Leaser) {
			s.set(true, false)
			time.Sleep(6 * time.Second)
			s.set(false, false)
		}, true, 1, 57},
		{"platform unavailable to the end", func(s *store, _ func(), _ *leaser.Leaser) { s.set(true, false) }, false, 1, 19},
		{"holder stops", func(_ *store, stop func(), _ *leaser.Leaser) { stop() }, false, 2, 75},
		{"holder stops and releases", func(_ *store, stop func(), first *leaser.Leaser) {
			stop()
			first.Release(t.Context())
		}, false, 2, 86},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{}
				first, stopFirst := start(s, "first")
				defer stopFirst()
				time.Sleep(10 * time.Millisecond)
				second, stopSecond := start(s, "second")
				defer stopSecond()
				time.Sleep(4537 * time.Millisecond)
				s.mu.Lock()
				s.reads = 0
				s.mu.Unlock()
				go tc.fault(s, stopFirst, first)
				held := 0
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					a, b := first.Held(time.Now()), second.Held(time.Now())
					assert.False(t, a && b)
					if a || b {
						held++
					}
				}
				assert.Equal(t, tc.wantHeld, held)
				assert.Equal(t, tc.wantFirst, first.Held(time.Now()))
				assert.Equal(t, tc.wantTerm, max(first.Term(), second.Term()))
				if tc.name == "no fault" {
					assert.LessOrEqual(t, s.reads, 4, "only the process without the lease reads, once in 3 s")
				}
			})
		})
	}
}

func start(s *store, holder string) (*leaser.Leaser, func()) { return startNamed(s, holder, "") }

// startNamed starts a Leaser of the only process of that name, and returns it and the
// function that stops it; an empty name means that there may be several.
func startNamed(s *store, holder, name string) (*leaser.Leaser, func()) {
	l := leaser.New(s, "dc", holder, logger.Logger{})
	l.Name = name
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		l.Run(ctx)
		close(done)
	}()
	return l, func() {
		cancel()
		<-done
	}
}
