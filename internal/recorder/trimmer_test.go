package recorder_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// keyAt returns a UUID of version 7 that carries the given time.
func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	low := binary.BigEndian.Uint16(id[6:8])
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|uint64(low))
	return id.String()
}

func TestCheckKey(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	testCases := []struct {
		name   string
		key    string
		cutoff time.Time
		want   error
	}{
		{name: "opaque", key: "form-17"},
		{name: "random UUID", key: "7f8c1c9e-6f5c-4f0e-9a43-0d7b9a6a1b11"},
		{name: "now", key: keyAt(now)},
		{name: "just within", key: keyAt(now.Add(-_retention))},
		{name: "too old", key: keyAt(now.Add(-_retention - time.Millisecond)), want: recorder.ErrKeyExpired},
		{name: "too old without dashes", key: "019c0000000070008000000000000000", want: recorder.ErrKeyExpired},
		{name: "trimmed", key: keyAt(now.Add(-2 * time.Hour)), cutoff: now.Add(-time.Hour), want: recorder.ErrKeyExpired},
		{name: "after the trim", key: keyAt(now.Add(-time.Hour)), cutoff: now.Add(-2 * time.Hour)},
		{name: "clock a little ahead", key: keyAt(now.Add(recorder.ClockSkew))},
		{name: "future", key: keyAt(now.Add(recorder.ClockSkew + time.Millisecond)), want: recorder.ErrKeyInFuture},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			assert.ErrorIs(t, recorder.CheckKey(tc.key, now, _retention, tc.cutoff), tc.want)
		})
	}
}

func newTrimmer(s *fakeStore, retention time.Duration) *recorder.Trimmer {
	return &recorder.Trimmer{Store: s, Process: "p", Retention: func() (time.Duration, bool) { return retention, true }}
}

func TestTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := recorder.New(s, logger.Logger{})
		_, err := r.Begin(t.Context(), newRecord("a"), time.Hour)
		require.NoError(t, err)
		require.NoError(t, newTrimmer(s, time.Hour).RunPass(t.Context()))
		assert.Len(t, s.objects, 2, "a record younger than the retention must stay")

		time.Sleep(2 * time.Hour)
		require.NoError(t, newTrimmer(s, 3*time.Hour).RunPass(t.Context()))
		assert.Len(t, s.objects, 2, "the retention of the configuration in force must count")

		time.Sleep(2 * time.Hour)
		writes := s.writeCount
		start := time.Now()
		require.NoError(t, newTrimmer(s, time.Hour).RunPass(t.Context()))
		assert.Len(t, s.objects, 1, "an expired record must be deleted")
		assert.Equal(t, 2, s.writeCount-writes)
		assert.Greater(t, time.Since(start), 4*time.Minute, "256 lists at one a second")
		require.NoError(t, newTrimmer(s, time.Hour).RunPass(t.Context()))
		assert.Equal(t, 2, s.writeCount-writes, "no second pass within the hour")
		require.NoError(t, r.Close())
	})
}

// claimedStore is a store whose records are claimed again just before each deletion.
type claimedStore struct{ *fakeStore }

func (claimedStore) Delete(context.Context, string, uint64) error { return storer.ErrConflict }

// A record that was claimed again stays, and is not counted as deleted.
func TestTrimOfClaimedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := recorder.New(s, logger.Logger{})
		_, err := r.Begin(t.Context(), newRecord("a"), time.Hour)
		require.NoError(t, err)
		time.Sleep(4 * time.Hour)
		var log bytes.Buffer
		trimmer := newTrimmer(s, time.Hour)
		trimmer.Store, trimmer.Log = claimedStore{s}, logger.New(&log, "p")
		require.NoError(t, trimmer.RunPass(t.Context()))
		assert.Len(t, s.objects, 2)
		assert.Contains(t, log.String(), "deleted=0")
		require.NoError(t, r.Close())
	})
}

// A shorter retention doesn't apply to a record that was created before it: the
// caller was promised a longer one.
func TestTrimKeepsPromisedRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := recorder.New(s, logger.Logger{})
		_, err := r.Begin(t.Context(), newRecord("a"), 72*time.Hour)
		require.NoError(t, err)
		time.Sleep(10 * time.Hour)
		require.NoError(t, newTrimmer(s, time.Hour).RunPass(t.Context()))
		assert.Len(t, s.objects, 2)
		require.NoError(t, r.Close())
	})
}

// After the retention was lengthened, keys whose records may have been trimmed
// under the shorter one are still refused.
func TestLongerRetentionAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := recorder.New(s, logger.Logger{})
		key := keyAt(time.Now())
		time.Sleep(10 * time.Hour)
		require.NoError(t, r.CheckKey(t.Context(), key, time.Now(), 72*time.Hour))
		require.NoError(t, newTrimmer(s, time.Hour).RunPass(t.Context()))
		assert.ErrorIs(t, r.CheckKey(t.Context(), key, time.Now(), 72*time.Hour), recorder.ErrKeyExpired)
		s.setFaults(true)
		assert.ErrorIs(t, r.CheckKey(t.Context(), key, time.Now(), 72*time.Hour), recorder.ErrUnavailable)
		require.NoError(t, r.Close())
	})
}
