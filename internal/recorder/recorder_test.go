package recorder_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const _retention = 72 * time.Hour

func call(owner string) *wire.CallRecord {
	return &wire.CallRecord{Key: "k", Organisation: "acme", Service: "lodgement", Owner: owner, BodySha256: "digest"}
}

func stored(t *testing.T, s *store) *wire.CallRecord {
	o, err := s.Get(t.Context(), recorder.RecordKey("acme", "lodgement", "k"))
	require.NoError(t, err)
	var r wire.CallRecord
	require.NoError(t, protojson.Unmarshal(o.Value, &r))
	return &r
}

func TestBeginAfterLostWrites(t *testing.T) {
	testCases := []struct {
		name    string
		writes  []fault
		noReads bool
		mine    bool
		// final is the outcome in the platform a minute later.
		final wire.Outcome
		// kept says that there is a record then.
		kept bool
	}{
		{name: "created", mine: true, kept: true},
		{name: "answer lost", writes: []fault{faultLose}, mine: true, kept: true},
		{name: "dropped and repeated", writes: []fault{faultDrop}, mine: true, kept: true},
		{name: "late and repeated", writes: []fault{faultLate}, mine: true, kept: true},
		{name: "refused", writes: []fault{faultRefuse}},
		{name: "late, then refused", writes: []fault{faultLate, faultRefuse}, kept: true, final: wire.Outcome_OUTCOME_NOT_RUN},
		{name: "lost and no reading back", writes: []fault{faultLose}, noReads: true, kept: true, final: wire.Outcome_OUTCOME_NOT_RUN},
		{name: "late and no reading back", writes: []fault{faultLate}, noReads: true, kept: true, final: wire.Outcome_OUTCOME_NOT_RUN},
		{name: "always dropped", writes: []fault{faultDrop, faultDrop, faultDrop, faultDrop}, kept: true, final: wire.Outcome_OUTCOME_NOT_RUN},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{writes: tc.writes, noReads: tc.noReads}
				r := recorder.New(s, logger.Logger{})
				c, err := r.Begin(t.Context(), call("a"), _retention)
				if tc.mine {
					require.NoError(t, err)
					assert.True(t, c.IsOwner())
				} else {
					assert.ErrorIs(t, err, recorder.ErrUnavailable)
				}
				time.Sleep(3 * time.Second)
				s.fail(false)
				time.Sleep(time.Minute)
				require.NoError(t, r.Close())
				if !tc.kept {
					assert.Empty(t, s.objects)
					return
				}
				assert.Equal(t, tc.final, stored(t, s).GetOutcome())
			})
		})
	}
}

// A claim that gave up is no obstacle to a retry, in this process at once and
// in another one as soon as NOT_RUN is stored.
func TestRetryAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{writes: []fault{faultLose}, noReads: true}
		r, other := recorder.New(s, logger.Logger{}), recorder.New(s, logger.Logger{})
		_, err := r.Begin(t.Context(), call("a"), _retention)
		require.ErrorIs(t, err, recorder.ErrUnavailable)
		s.fail(false)
		c, err := other.Begin(t.Context(), call("b"), _retention)
		require.NoError(t, err)
		assert.False(t, c.IsOwner(), "the owner might still send, as far as another process knows")
		c, err = r.Begin(t.Context(), call("c"), _retention)
		require.NoError(t, err)
		require.True(t, c.IsOwner())
		record := call("c")
		record.Outcome = wire.Outcome_OUTCOME_NOT_RUN
		r.Finish(c, record)
		time.Sleep(time.Minute)
		c, err = other.Begin(t.Context(), call("d"), _retention)
		require.NoError(t, err)
		assert.True(t, c.IsOwner())
		require.NoError(t, r.Close())
		require.NoError(t, other.Close())
	})
}

func TestBeginOfKnownRecord(t *testing.T) {
	testCases := []struct {
		outcome wire.Outcome
		mine    bool
	}{
		{outcome: wire.Outcome_OUTCOME_UNSPECIFIED},
		{outcome: wire.Outcome_OUTCOME_RAN},
		{outcome: wire.Outcome_OUTCOME_UNKNOWN},
		{outcome: wire.Outcome_OUTCOME_NOT_RUN, mine: true},
	}
	for _, tc := range testCases {
		t.Run(tc.outcome.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{}
				r := recorder.New(s, logger.Logger{})
				c, err := r.Begin(t.Context(), call("a"), _retention)
				require.NoError(t, err)
				record := call("a")
				record.Outcome = tc.outcome
				r.Finish(c, record)
				time.Sleep(time.Second)
				c, err = r.Begin(t.Context(), call("b"), _retention)
				require.NoError(t, err)
				assert.Equal(t, tc.mine, c.IsOwner())
				changed := call("c")
				changed.BodySha256 = "another"
				_, err = r.Begin(t.Context(), changed, _retention)
				assert.ErrorIs(t, err, recorder.ErrDifferentCall)
				require.NoError(t, r.Close())
			})
		})
	}
}

// Two claims of one record that was not run: one wins, also when answers are
// lost.
func TestClaimAgainOnce(t *testing.T) {
	for _, f := range []fault{faultNone, faultLose, faultLate, faultDrop} {
		t.Run("write "+string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{}
				a, b := recorder.New(s, logger.Logger{}), recorder.New(s, logger.Logger{})
				c, err := a.Begin(t.Context(), call("a"), _retention)
				require.NoError(t, err)
				a.Abandon(c)
				time.Sleep(time.Second)
				// The first write of each Begin is a Create, which conflicts.
				s.fail(false, faultNone, f)
				first, err := a.Begin(t.Context(), call("b"), _retention)
				require.NoError(t, err)
				second, err := b.Begin(t.Context(), call("c"), _retention)
				require.NoError(t, err)
				assert.True(t, first.IsOwner())
				assert.False(t, second.IsOwner())
				time.Sleep(time.Minute)
				assert.Equal(t, "b", stored(t, s).GetOwner())
				require.NoError(t, a.Close())
				require.NoError(t, b.Close())
			})
		})
	}
}

func TestFinish(t *testing.T) {
	testCases := []struct {
		name   string
		writes []fault
		want   wire.Outcome
	}{
		{name: "stored", want: wire.Outcome_OUTCOME_RAN},
		{name: "answer lost", writes: []fault{faultLose}, want: wire.Outcome_OUTCOME_RAN},
		{name: "late and repeated", writes: []fault{faultLate}, want: wire.Outcome_OUTCOME_RAN},
		{name: "away for a while", writes: []fault{faultRefuse, faultRefuse, faultRefuse, faultRefuse, faultRefuse, faultRefuse}, want: wire.Outcome_OUTCOME_RAN},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{}
				r := recorder.New(s, logger.Logger{})
				c, err := r.Begin(t.Context(), call("a"), _retention)
				require.NoError(t, err)
				s.fail(false, tc.writes...)
				began := time.Now()
				record := call("a")
				record.Outcome = wire.Outcome_OUTCOME_RAN
				r.Finish(c, record)
				assert.Zero(t, time.Since(began), "the caller's answer waits for nothing")
				waiting, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				assert.Equal(t, tc.want, r.Wait(waiting, c).GetOutcome())
				if len(tc.writes) == 0 {
					assert.Equal(t, 2, s.calls, "a call costs two writes")
				}
				require.NoError(t, r.Close())
			})
		})
	}
}

// A conflict is this attempt's own write only where the record says so.
func TestFinishOfTakenRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		r := recorder.New(s, logger.Logger{})
		c, err := r.Begin(t.Context(), call("a"), _retention)
		require.NoError(t, err)
		key := recorder.RecordKey("acme", "lodgement", "k")
		value, err := protojson.Marshal(call("another"))
		require.NoError(t, err)
		_, err = s.Update(t.Context(), key, s.version, value)
		require.NoError(t, err)
		record := call("a")
		record.Outcome = wire.Outcome_OUTCOME_RAN
		r.Finish(c, record)
		require.NoError(t, r.Close())
		assert.Equal(t, "another", stored(t, s).GetOwner())
	})
}

// Close ends while the platform stays away.
func TestCloseWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		r := recorder.New(s, logger.Logger{})
		c, err := r.Begin(t.Context(), call("a"), _retention)
		require.NoError(t, err)
		s.fail(false, slices.Repeat([]fault{faultRefuse}, 1000)...)
		r.Finish(c, call("a"))
		began := time.Now()
		require.NoError(t, r.Close())
		assert.Less(t, time.Since(began), time.Minute)
	})
}

func TestSendable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := recorder.New(&store{}, logger.Logger{})
		c, err := r.Begin(t.Context(), call("a"), _retention)
		require.NoError(t, err)
		assert.True(t, c.Sendable(time.Now()))
		assert.False(t, c.Sendable(time.Now().Add(time.Minute)))
		wall := time.Now().Add(time.Minute).Round(0)
		assert.False(t, c.Sendable(wall), "the monotonic clock may stand still during a pause")
		require.NoError(t, r.Close())
	})
}
