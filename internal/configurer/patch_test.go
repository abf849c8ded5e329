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
					require.NotErrorIs(t, err, configurer.ErrBase)
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
