package reflector_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
)

// silent is a source that answers no call. Each fails after the given time.
type silent struct {
	callTime time.Duration

	mu    sync.Mutex
	began []time.Time
}

// calls returns when each call began.
func (s *silent) calls() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.began)
}

func (s *silent) List(context.Context) (reflector.Listing[int], error) {
	s.mu.Lock()
	s.began = append(s.began, time.Now())
	s.mu.Unlock()
	time.Sleep(s.callTime)
	return reflector.Listing[int]{}, errors.New("no answer")
}

func (s *silent) Watch(context.Context, uint64, time.Duration) (reflector.Changes[int], error) {
	return reflector.Changes[int]{}, errors.New("not listed")
}

// Guards against a copy that stays old after an outage because its reflector pauses although
// the process knows that the store answers again.
func TestRecoveryEndsPause(t *testing.T) {
	for _, callTime := range []time.Duration{0, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &silent{callTime: callTime}
			var recovered atomic.Value // the chan struct{} to close next
			recovered.Store(make(chan struct{}))
			r := &reflector.Reflector[int]{Kind: "k", Source: s, Publish: func(uint64, map[string]int) {}, Recovered: func() <-chan struct{} { return recovered.Load().(chan struct{}) }}
			var running sync.WaitGroup
			running.Go(func() { r.Run(ctx) })
			for range 20 {
				time.Sleep(time.Second)
				synctest.Wait()
				before := len(s.calls())
				recoveredAt := time.Now()
				close(recovered.Swap(make(chan struct{})).(chan struct{}))
				time.Sleep(callTime + time.Millisecond)
				synctest.Wait()
				calls := s.calls()
				require.Greater(t, len(calls), before)
				assert.LessOrEqual(t, calls[before].Sub(recoveredAt), callTime, "only the call under way may delay the next one")
			}
			cancel()
			running.Wait()
		})
	}
}

// Guards against a pause after a call that got no answer: the wait for the answer and the pause
// once added up, and an outage that ended meanwhile was noticed after both.
func TestUnansweredCallsAreNotFollowedByLongPauses(t *testing.T) {
	const shortPause = 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s := &silent{callTime: time.Second}
		r := &reflector.Reflector[int]{Kind: "k", Source: s, Publish: func(uint64, map[string]int) {}}
		r.Run(ctx)
		calls := s.calls()
		for i, at := range calls[1:] {
			assert.LessOrEqual(t, at.Sub(calls[i].Add(s.callTime)), shortPause, "pause before call %d", i+1)
		}
	})
}

// Guards against calls without a pause where the store refuses them at once.
func TestRefusedCallsAreFollowedByPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s := &silent{}
		r := &reflector.Reflector[int]{Kind: "k", Source: s, Publish: func(uint64, map[string]int) {}}
		r.Run(ctx)
		assert.LessOrEqual(t, len(s.calls()), 44, "two calls a second, and some more at first")
	})
}
