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
)

// newConfigurer returns the Configurer of a process whose platform is s.
func newConfigurer(s configurer.Store) *configurer.Configurer {
	return configurer.New(s, &reader.Schedule{}, logger.Logger{})
}

// queuePatch returns a patch that sets max_queue.
func queuePatch(id string, base uint64, queue int) configurer.Patch {
	return configurer.Patch{
		ID: id, Base: base, Author: "ann", Reason: "change " + id,
		Merge: json.RawMessage(fmt.Sprintf(`{"policy":{"max_queue":%d}}`, queue)),
	}
}

// TestPatchWithFailingWrites checks that a patch is applied exactly once even if
// writes or their responses are lost, and that Patch returns an error after a
// limited number of calls if the platform does not recover.
func TestPatchWithFailingWrites(t *testing.T) {
	testCases := []struct {
		name        string
		writeFaults []standin.WriteFault
		unavailable bool
		number      uint64 // 0: Patch fails
	}{
		{name: "response arrives", number: 1},
		{name: "response is lost after the write", writeFaults: []standin.WriteFault{standin.WriteFaultResponseLost}, number: 1},
		{name: "write is lost", writeFaults: []standin.WriteFault{standin.WriteFaultRequestLost}, number: 1},
		{name: "write is lost twice, then its response", writeFaults: []standin.WriteFault{standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultResponseLost}, number: 1},
		{name: "platform throttles three times", writeFaults: []standin.WriteFault{standin.WriteFaultThrottled, standin.WriteFaultThrottled, standin.WriteFaultThrottled}, number: 1},
		{name: "platform is unavailable", unavailable: true},
		{name: "platform loses every write", writeFaults: []standin.WriteFault{
			standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost,
			standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost,
			standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost,
			standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost, standin.WriteFaultRequestLost,
		}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				s.SetWriteFaults(tc.writeFaults...)
				s.SetUnavailable(tc.unavailable)
				c := newConfigurer(s)
				x, err := c.Patch(context.Background(), queuePatch("p1", 0, 7))
				require.Less(t, s.CallCount(), 50, "retries must not overload the platform")
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

// TestPatchRace checks that of two operators that patch the same number, one gets
// the next number and the other a conflict with the change that won. It also
// checks that a repeated patch id returns its first result, however old.
func TestPatchRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		a, b := newConfigurer(s), newConfigurer(s)
		results := make(chan error, 2)
		go func() { _, err := a.Patch(context.Background(), queuePatch("a", 0, 7)); results <- err }()
		go func() { _, err := b.Patch(context.Background(), queuePatch("b", 0, 8)); results <- err }()
		var lost error
		for range 2 {
			if err := <-results; err != nil {
				require.NoError(t, lost, "both patches were refused")
				lost = err
			}
		}
		require.ErrorIs(t, lost, configurer.ErrBaseMismatch)
		var conflict *configurer.ConflictError
		require.ErrorAs(t, lost, &conflict)
		require.EqualValues(t, 1, conflict.Winner.GetNumber())
		// A repeated patch returns its first result although 129 later patches were
		// accepted and its change is archived.
		for n := uint64(1); n < 130; n++ {
			_, err := a.Patch(context.Background(), queuePatch(fmt.Sprintf("later-%d", n), n, int(n)))
			require.NoError(t, err)
		}
		again, err := b.Patch(context.Background(), queuePatch(conflict.Winner.GetPatchId(), 0, 7))
		require.NoError(t, err)
		require.EqualValues(t, 1, again.GetNumber())
		// The same holds if the operator's tool repeats it with a newer base.
		again, err = b.Patch(context.Background(), queuePatch(conflict.Winner.GetPatchId(), 130, 7))
		require.NoError(t, err)
		require.EqualValues(t, 1, again.GetNumber(), "a patch id was applied twice")
		// The conflict of a patch with a base far behind names the newest change.
		_, err = b.Patch(context.Background(), queuePatch("late", 0, 9))
		require.ErrorAs(t, err, &conflict)
		require.EqualValues(t, 130, conflict.Winner.GetNumber())
		require.EqualValues(t, 130, conflict.Current)
	})
}

// TestHistory checks that History returns every change, from the record and from
// the archive, and at most 100 at once.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := newConfigurer(s)
		for n := range uint64(130) {
			_, err := c.Patch(context.Background(), queuePatch(fmt.Sprintf("p%d", n+1), n, int(n)+1))
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

// damagedStore is a store that has lost an object.
type damagedStore struct {
	*standin.Store
	missing string // key of the lost object
}

func (d damagedStore) Get(ctx context.Context, key string) (storer.Object, error) {
	if key == d.missing {
		return storer.Object{}, storer.ErrNotFound
	}
	return d.Store.Get(ctx, key)
}

// TestHistoryOfDamagedArchive checks that History fails, and does not skip a change, if
// the archive lacks one.
func TestHistoryOfDamagedArchive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConfigurer(damagedStore{Store: standin.NewStore(), missing: "configuration-archive/00000000000000000007"})
		for n := range uint64(80) {
			_, err := c.Patch(context.Background(), queuePatch(fmt.Sprintf("p%d", n+1), n, int(n)+1))
			require.NoError(t, err)
		}
		changes, err := c.History(context.Background(), 0)
		require.Len(t, changes, 6)
		require.ErrorContains(t, err, "change 7")
	})
}

// TestPatchOfUnknownNumber checks that a patch for a number above the current one is
// refused without naming a winner.
func TestPatchOfUnknownNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConfigurer(standin.NewStore())
		var conflict *configurer.ConflictError
		for current := range uint64(2) {
			_, err := c.Patch(context.Background(), queuePatch("late", 7, 9))
			require.ErrorAs(t, err, &conflict)
			require.Nil(t, conflict.Winner)
			require.Equal(t, fmt.Sprintf("configurer: the configuration is at number %d; there is no number 7 for a patch to be made for", current), conflict.Error())
			_, err = c.Patch(context.Background(), queuePatch(fmt.Sprint(current), current, 9))
			require.NoError(t, err)
		}
	})
}

// TestPatchSizes checks that a series of large patches is accepted: the record
// must drop recent changes by size, so that it still fits into an object of the
// platform.
func TestPatchSizes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := newConfigurer(s)
		for n := range 12 {
			organisations := make(map[string]any)
			for i := range 800 {
				organisations[fmt.Sprintf("o-%d", i)] = map[string]any{"keys_sha256": []string{fmt.Sprintf("%064d", i+10000*n)}}
			}
			merge, err := json.Marshal(map[string]any{"organisations": organisations})
			require.NoError(t, err)
			_, err = c.Patch(context.Background(), configurer.Patch{
				ID: fmt.Sprint(n), Base: uint64(n), Author: "ann", Reason: "keys", Merge: merge,
			})
			require.NoError(t, err)
		}
		require.EqualValues(t, 12, c.Current().Number())
		require.Less(t, len(c.Current().Record().GetRecent()), 12, "no change was dropped by size")
	})
}

// eagerStore answers each watch at once with the stored object, even if it has
// not changed.
type eagerStore struct{ *standin.Store }

func (e eagerStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (storer.Object, error) {
	return e.Get(ctx, key)
}

// TestRunPausesAfterUnchangedAnswers checks that Run does not watch in a busy loop
// if the platform answers each watch at once.
func TestRunPausesAfterUnchangedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := newConfigurer(eagerStore{s})
		_, err := c.Patch(context.Background(), queuePatch("p1", 0, 7))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		c.Run(ctx)
		require.Less(t, s.CallCount(), 60)
	})
}

// TestStalePlatform checks that an older state from the platform never replaces
// the configuration in force, and that Patch retries instead of relying on it.
func TestStalePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		c := newConfigurer(s)
		for n := range uint64(3) {
			_, err := c.Patch(context.Background(), queuePatch(fmt.Sprint(n), n, int(n)+1))
			require.NoError(t, err)
		}
		s.SetStale(true)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		time.Sleep(20 * time.Second)
		require.EqualValues(t, 3, c.Current().Number())
		require.Less(t, s.CallCount(), 60, "Run must pause after a stale response")
		go func() { time.Sleep(time.Second); s.SetStale(false) }()
		_, err := c.Patch(context.Background(), queuePatch("after", 3, 9))
		require.NoError(t, err)
		cancel()
		<-done
	})
}
