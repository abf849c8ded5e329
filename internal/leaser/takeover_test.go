package leaser_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// peekableStore is a store that also has Peek.
type peekableStore struct{ *store }

func (p peekableStore) Peek(ctx context.Context, key string) (storer.Object, error) {
	o, err := p.Get(ctx, key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads-- // only calls of Get are counted
	return o, err
}

// A process that polls slowly makes no Get while another renews the lease, and takes the
// lease over once that one has ended.
func TestSlowPollsAreCheap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		slow := leaser.New(peekableStore{s}, "dc", "b/1", logger.Logger{})
		slow.PollsSlowly = func() bool { return true }
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go slow.Run(ctx)
		time.Sleep(time.Second)
		assert.Zero(t, s.readCount(), "no lease yet")
		_, stop := start(s, "a/1")
		time.Sleep(time.Second)
		reads := s.readCount()
		time.Sleep(time.Minute)
		assert.Equal(t, reads, s.readCount())
		stop()
		time.Sleep(time.Minute)
		assert.True(t, slow.Held(time.Now()))
	})
}

// A process takes over at once a lease that an earlier start of it holds, and waits for
// the expiry of a lease that another process holds.
func TestTakeOverFromEarlierStart(t *testing.T) {
	for holder, atOnce := range map[string]bool{"a/1": true, "b/1": false} {
		synctest.Test(t, func(t *testing.T) {
			s := &store{}
			first, stopFirst := start(s, holder)
			time.Sleep(time.Second)
			assert.True(t, first.Held(time.Now()))
			stopFirst()
			next, stopNext := startNamed(s, "a/2", "a")
			defer stopNext()
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, atOnce, next.Held(time.Now()), holder)
		})
	}
}

// timeToTakeOver returns how long after the holder has stopped a second process holds the
// lease.
func timeToTakeOver(t *testing.T, quick bool) (after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		_, stop := start(s, "a/1")
		time.Sleep(time.Second)
		next := leaser.New(peekableStore{s}, "dc", "b/1", logger.Logger{})
		next.PollsQuickly = func() bool { return quick }
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go next.Run(ctx)
		time.Sleep(10 * time.Second)
		stop()
		for !next.Held(time.Now()) {
			time.Sleep(10 * time.Millisecond)
			after += 10 * time.Millisecond
		}
	})
	return after
}

// A process that polls quickly takes over a lease sooner than another would.
func TestQuickPollsTakeOverSooner(t *testing.T) {
	const runs = 20
	var quick, usual time.Duration
	for range runs {
		quick += timeToTakeOver(t, true)
		usual += timeToTakeOver(t, false)
	}
	assert.Less(t, quick/runs, usual/runs)
}

// A released lease is acquired at the next read, also by a process that uses Peek. Wake
// makes a process read at once.
func TestAcquireReleasedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		first := leaser.New(peekableStore{s}, "dc", "a/1", logger.Logger{})
		second := leaser.New(peekableStore{s}, "dc", "b/1", logger.Logger{})
		second.PollsSlowly = func() bool { return true }
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		firstCtx, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			first.Run(firstCtx)
		}()
		time.Sleep(time.Second)
		go second.Run(ctx)
		time.Sleep(4 * time.Second)
		assert.True(t, first.Held(time.Now()))
		stop()
		<-done
		first.Release(ctx)
		time.Sleep(100 * time.Millisecond)
		assert.False(t, second.Held(time.Now()))
		second.Wake()
		time.Sleep(100 * time.Millisecond)
		assert.True(t, second.Held(time.Now()))
	})
}

// delayedStore is a store whose calls of Get arrive late until the given time, as on a
// connection that is interrupted for a while.
type delayedStore struct {
	*store
	until time.Time
}

func (s delayedStore) Get(ctx context.Context, key string) (storer.Object, error) {
	time.Sleep(time.Until(s.until))
	return s.store.Get(ctx, key)
}

// A lease that its holder renews is not taken over by a process whose first read took
// longer than the lease lasts, since that read shows the lease as it was at its end.
func TestLateReadIsNoExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		first, stopFirst := start(s, "a/1")
		defer stopFirst()
		time.Sleep(time.Second)
		late := leaser.New(delayedStore{s, time.Now().Add(5 * time.Second)}, "dc", "b/1", logger.Logger{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go late.Run(ctx)
		time.Sleep(time.Second)
		// The next read begins as soon as the late one has ended.
		late.Wake()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.False(t, late.Held(time.Now()))
			assert.True(t, first.Held(time.Now()))
		}
		assert.EqualValues(t, 1, max(first.Term(), late.Term()))
	})
}
