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

func newRecord(owner string) *wire.CallRecord {
	return &wire.CallRecord{Key: "k", Organisation: "acme", Service: "lodgement", Owner: owner, BodySha256: "digest"}
}

func storedRecord(t *testing.T, s *fakeStore) *wire.CallRecord {
	o, err := s.Get(t.Context(), recorder.RecordKey("acme", "lodgement", "k"))
	require.NoError(t, err)
	var r wire.CallRecord
	require.NoError(t, protojson.Unmarshal(o.Value, &r))
	return &r
}

func TestBeginAfterLostWrites(t *testing.T) {
	testCases := []struct {
		name      string
		writes    []fault
		readsFail bool
		isOwner   bool
		// final is the outcome in the stored record a minute later.
		final wire.Outcome
		// kept says whether there is a stored record a minute later.
		kept bool
	}{
		{name: "created", isOwner: true, kept: true},
		{name: "response lost", writes: []fault{_faultLose}, isOwner: true, kept: true},
		{name: "dropped and repeated", writes: []fault{_faultDrop}, isOwner: true, kept: true},
		{name: "late and repeated", writes: []fault{_faultLate}, isOwner: true, kept: true},
		{name: "refused", writes: []fault{_faultRefuse}},
		{name: "late, then refused", writes: []fault{_faultLate, _faultRefuse}, kept: true, final: wire.Outcome_OUTCOME_NOT_RUN},
		{name: "response lost and reads fail", writes: []fault{_faultLose}, readsFail: true, kept: true, final: wire.Outcome_OUTCOME_NOT_RUN},
		{name: "late and reads fail", writes: []fault{_faultLate}, readsFail: true, kept: true, final: wire.Outcome_OUTCOME_NOT_RUN},
		{name: "always dropped", writes: []fault{_faultDrop, _faultDrop, _faultDrop, _faultDrop}, kept: true, final: wire.Outcome_OUTCOME_NOT_RUN},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{writeFaults: tc.writes, readsFail: tc.readsFail}
				r := recorder.New(s, logger.Logger{})
				c, err := r.Begin(t.Context(), newRecord("a"), _retention)
				if tc.isOwner {
					require.NoError(t, err)
					assert.True(t, c.IsOwner())
				} else {
					assert.ErrorIs(t, err, recorder.ErrUnavailable)
				}
				time.Sleep(3 * time.Second)
				s.setFaults(false)
				time.Sleep(time.Minute)
				require.NoError(t, r.Close())
				if !tc.kept {
					assert.Empty(t, s.objects)
					return
				}
				assert.Equal(t, tc.final, storedRecord(t, s).GetOutcome())
			})
		})
	}
}

// A record whose owner gave up can be claimed again, in the same process at once
// and in another one as soon as NOT_RUN is stored.
func TestRetryAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{writeFaults: []fault{_faultLose}, readsFail: true}
		r, other := recorder.New(s, logger.Logger{}), recorder.New(s, logger.Logger{})
		_, err := r.Begin(t.Context(), newRecord("a"), _retention)
		require.ErrorIs(t, err, recorder.ErrUnavailable)
		s.setFaults(false)
		c, err := other.Begin(t.Context(), newRecord("b"), _retention)
		require.NoError(t, err)
		assert.False(t, c.IsOwner(), "another process must assume that the owner may still send the call")
		c, err = r.Begin(t.Context(), newRecord("c"), _retention)
		require.NoError(t, err)
		require.True(t, c.IsOwner())
		record := newRecord("c")
		record.Outcome = wire.Outcome_OUTCOME_NOT_RUN
		r.Finish(c, record)
		time.Sleep(time.Minute)
		c, err = other.Begin(t.Context(), newRecord("d"), _retention)
		require.NoError(t, err)
		assert.True(t, c.IsOwner())
		require.NoError(t, r.Close())
		require.NoError(t, other.Close())
	})
}

func TestBeginOfExistingRecord(t *testing.T) {
	testCases := []struct {
		outcome wire.Outcome
		isOwner bool
	}{
		{outcome: wire.Outcome_OUTCOME_UNSPECIFIED},
		{outcome: wire.Outcome_OUTCOME_RAN},
		{outcome: wire.Outcome_OUTCOME_UNKNOWN},
		{outcome: wire.Outcome_OUTCOME_NOT_RUN, isOwner: true},
	}
	for _, tc := range testCases {
		t.Run(tc.outcome.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{}
				r := recorder.New(s, logger.Logger{})
				c, err := r.Begin(t.Context(), newRecord("a"), _retention)
				require.NoError(t, err)
				record := newRecord("a")
				record.Outcome = tc.outcome
				r.Finish(c, record)
				time.Sleep(time.Second)
				c, err = r.Begin(t.Context(), newRecord("b"), _retention)
				require.NoError(t, err)
				assert.Equal(t, tc.isOwner, c.IsOwner())
				changed := newRecord("c")
				changed.BodySha256 = "another"
				_, err = r.Begin(t.Context(), changed, _retention)
				assert.ErrorIs(t, err, recorder.ErrDifferentCall)
				require.NoError(t, r.Close())
			})
		})
	}
}

// Of two attempts that claim a record with the outcome NOT_RUN, one succeeds, also
// when responses are lost.
func TestReclaimOnce(t *testing.T) {
	for _, f := range []fault{_faultNone, _faultLose, _faultLate, _faultDrop} {
		t.Run("write "+string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{}
				a, b := recorder.New(s, logger.Logger{}), recorder.New(s, logger.Logger{})
				c, err := a.Begin(t.Context(), newRecord("a"), _retention)
				require.NoError(t, err)
				a.Abandon(c)
				time.Sleep(time.Second)
				// The first write of each Begin is a Create, which conflicts.
				s.setFaults(false, _faultNone, f)
				first, err := a.Begin(t.Context(), newRecord("b"), _retention)
				require.NoError(t, err)
				second, err := b.Begin(t.Context(), newRecord("c"), _retention)
				require.NoError(t, err)
				assert.True(t, first.IsOwner())
				assert.False(t, second.IsOwner())
				time.Sleep(time.Minute)
				assert.Equal(t, "b", storedRecord(t, s).GetOwner())
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
		{name: "response lost", writes: []fault{_faultLose}, want: wire.Outcome_OUTCOME_RAN},
		{name: "late and repeated", writes: []fault{_faultLate}, want: wire.Outcome_OUTCOME_RAN},
		{name: "unavailable for a while", writes: []fault{_faultRefuse, _faultRefuse, _faultRefuse, _faultRefuse, _faultRefuse, _faultRefuse}, want: wire.Outcome_OUTCOME_RAN},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{}
				r := recorder.New(s, logger.Logger{})
				c, err := r.Begin(t.Context(), newRecord("a"), _retention)
				require.NoError(t, err)
				s.setFaults(false, tc.writes...)
				start := time.Now()
				record := newRecord("a")
				record.Outcome = wire.Outcome_OUTCOME_RAN
				r.Finish(c, record)
				assert.Zero(t, time.Since(start), "Finish must not block")
				waiting, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				assert.Equal(t, tc.want, r.Wait(waiting, c).GetOutcome())
				if len(tc.writes) == 0 {
					assert.Equal(t, 2, s.writeCount, "a call costs two writes")
				}
				require.NoError(t, r.Close())
			})
		})
	}
}

// On a conflict, Finish must not overwrite a record that another attempt owns.
func TestFinishOfRecordWithOtherOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := recorder.New(s, logger.Logger{})
		c, err := r.Begin(t.Context(), newRecord("a"), _retention)
		require.NoError(t, err)
		key := recorder.RecordKey("acme", "lodgement", "k")
		value, err := protojson.Marshal(newRecord("another"))
		require.NoError(t, err)
		_, err = s.Update(t.Context(), key, s.version, value)
		require.NoError(t, err)
		record := newRecord("a")
		record.Outcome = wire.Outcome_OUTCOME_RAN
		r.Finish(c, record)
		require.NoError(t, r.Close())
		assert.Equal(t, "another", storedRecord(t, s).GetOwner())
	})
}

// Close returns although the platform stays unavailable.
func TestCloseWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := recorder.New(s, logger.Logger{})
		c, err := r.Begin(t.Context(), newRecord("a"), _retention)
		require.NoError(t, err)
		s.setFaults(false, slices.Repeat([]fault{_faultRefuse}, 1000)...)
		r.Finish(c, newRecord("a"))
		start := time.Now()
		require.NoError(t, r.Close())
		assert.Less(t, time.Since(start), time.Minute)
	})
}

func TestSendable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := recorder.New(&fakeStore{}, logger.Logger{})
		c, err := r.Begin(t.Context(), newRecord("a"), _retention)
		require.NoError(t, err)
		assert.True(t, c.Sendable(time.Now()))
		assert.False(t, c.Sendable(time.Now().Add(time.Minute)))
		wall := time.Now().Add(time.Minute).Round(0)
		assert.False(t, c.Sendable(wall), "the monotonic clock may stand still during a pause")
		require.NoError(t, r.Close())
	})
}
