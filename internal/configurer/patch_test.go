package configurer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

func process(s configurer.Store) *configurer.Configurer {
	return configurer.New(s, &reader.Turn{}, logger.Logger{})
}

func change(id string, base uint64, queue int) configurer.Patch {
	return configurer.Patch{
		ID: id, Base: base, Author: "ann", Reason: "change " + id,
		Merge: json.RawMessage(fmt.Sprintf(`{"policy":{"max_queue":%d}}`, queue)),
	}
}

func TestPatchWithFailingWrites(t *testing.T) {
	testCases := []struct {
		name   string
		losses []standin.Loss
		out    bool
		number uint64
	}{
		{name: "answer arrives", number: 1},
		{name: "answer is lost after the write", losses: []standin.Loss{standin.LossApplied}, number: 1},
		{name: "write is lost", losses: []standin.Loss{standin.LossDropped}, number: 1},
		{name: "lost three times", losses: []standin.Loss{standin.LossDropped, standin.LossDropped, standin.LossApplied}, number: 1},
		{name: "rate limit for a while", losses: []standin.Loss{standin.LossThrottle, standin.LossThrottle, standin.LossThrottle}, number: 1},
		{name: "platform is out", out: true},
		{name: "platform loses every write", losses: []standin.Loss{
			standin.LossDropped, standin.LossDropped, standin.LossDropped, standin.LossDropped, standin.LossDropped,
			standin.LossDropped, standin.LossDropped, standin.LossDropped, standin.LossDropped, standin.LossDropped,
			standin.LossDropped, standin.LossDropped, standin.LossDropped, standin.LossDropped, standin.LossDropped,
			standin.LossDropped, standin.LossDropped, standin.LossDropped, standin.LossDropped, standin.LossDropped,
		}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				s.Lose(tc.losses...)
				s.SetOut(tc.out)
				c := process(s)
				x, err := c.Patch(context.Background(), change("p1", 0, 7))
				require.Less(t, s.Calls(), 50, "the retries must not press on the platform")
				if tc.number == 0 {
					require.Error(t, err)
					require.NotErrorIs(t, err, configurer.ErrBaseMismatch)
					return
				}
				require.NoError(t, err)
				require.Equal(t, tc.number, x.GetNumber())
				require.Equal(t, tc.number, c.Current().Number())
				require.Len(t, c.Current().Record().GetRecent(), 1)
			})
		})
	}
}

// Of two operators that patch the same number, one gets the next one and the
// other sees the change that won.
func TestPatchRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		a, b := process(s), process(s)
		results := make(chan error, 2)
		go func() { _, err := a.Patch(context.Background(), change("a", 0, 7)); results <- err }()
		go func() { _, err := b.Patch(context.Background(), change("b", 0, 8)); results <- err }()
		var lost error
		for range 2 {
			if err := <-results; err != nil {
				require.NoError(t, lost, "both were refused")
				lost = err
			}
		}
		require.ErrorIs(t, lost, configurer.ErrBaseMismatch)
		var conflict *configurer.ConflictError
		require.ErrorAs(t, lost, &conflict)
		require.EqualValues(t, 1, conflict.Winner.GetNumber())
		// The first result holds although others came after it.
		for n := uint64(1); n < 130; n++ {
			_, err := a.Patch(context.Background(), change(fmt.Sprintf("later-%d", n), n, int(n)))
			require.NoError(t, err)
		}
		again, err := b.Patch(context.Background(), change(conflict.Winner.GetPatchId(), 0, 7))
		require.NoError(t, err)
		require.EqualValues(t, 1, again.GetNumber())
		// Also where the operator's tool asks with a newer base.
		again, err = b.Patch(context.Background(), change(conflict.Winner.GetPatchId(), 130, 7))
		require.NoError(t, err)
		require.EqualValues(t, 1, again.GetNumber(), "a patch id was applied twice")
		// Who was overtaken long ago sees the newest change.
		_, err = b.Patch(context.Background(), change("late", 0, 9))
		require.ErrorAs(t, err, &conflict)
		require.EqualValues(t, 130, conflict.Winner.GetNumber())
		require.EqualValues(t, 130, conflict.Current)
	})
}

// Every change stays in the history.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := process(s)
		for n := range uint64(130) {
			_, err := c.Patch(context.Background(), change(fmt.Sprintf("p%d", n+1), n, int(n)+1))
			require.NoError(t, err)
		}
		testCases := []struct {
			after       uint64
			first, last uint64
		}{
			{after: 0, first: 1, last: 100},
			{after: 100, first: 101, last: 130},
			{after: 129, first: 130, last: 130},
		}
		for _, tc := range testCases {
			changes, err := c.History(context.Background(), tc.after)
			require.NoError(t, err)
			require.Len(t, changes, int(tc.last-tc.first+1))
			for i, x := range changes {
				require.Equal(t, tc.first+uint64(i), x.GetNumber())
				require.Equal(t, fmt.Sprintf("p%d", x.GetNumber()), x.GetPatchId())
			}
		}
		changes, err := c.History(context.Background(), 130)
		require.NoError(t, err)
		require.Empty(t, changes)
	})
}

// Patches of any size leave a configuration that the platform can hold.
func TestPatchSizes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := process(s)
		var faults validator.Faults
		accepted := uint64(0)
		for n := range 12 {
			organisations := make(map[string]any)
			for i := range 800 {
				organisations[fmt.Sprintf("o-%d", i)] = map[string]any{"keys_sha256": []string{fmt.Sprintf("%064d", i+10000*n)}}
			}
			merge, err := json.Marshal(map[string]any{"organisations": organisations})
			require.NoError(t, err)
			_, err = c.Patch(context.Background(), configurer.Patch{
				ID: fmt.Sprint(n), Base: accepted, Author: "ann", Reason: "keys", Merge: merge,
			})
			require.NoError(t, err)
			require.NotErrorAs(t, err, &faults)
			accepted++
		}
		require.EqualValues(t, 12, c.Current().Number())
	})
}

// eager answers each watch at once with what it has, newer or not.
type eager struct{ *standin.Store }

func (e eager) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (storer.Object, error) {
	return e.Get(ctx, key)
}

// A platform that does not wait is not asked without pause.
func TestEagerPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := process(eager{s})
		_, err := c.Patch(context.Background(), change("p1", 0, 7))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		c.Run(ctx)
		require.Less(t, s.Calls(), 60)
	})
}

// A platform that answers with an older state changes nothing, and a patch is
// not judged by it.
func TestStalePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := process(s)
		for n := range uint64(3) {
			_, err := c.Patch(context.Background(), change(fmt.Sprint(n), n, int(n)+1))
			require.NoError(t, err)
		}
		s.SetStale(true)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		time.Sleep(20 * time.Second)
		require.EqualValues(t, 3, c.Current().Number())
		require.Less(t, s.Calls(), 60, "a stale answer must not be asked for without pause")
		go func() { time.Sleep(time.Second); s.SetStale(false) }()
		_, err := c.Patch(context.Background(), change("after", 3, 9))
		require.NoError(t, err)
		cancel()
		<-done
	})
}
