package recorder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// TrimRecordKey is the platform's key of the TrimRecord, which announces the last
// pass.
const TrimRecordKey = "call-trim"

const (
	// _shardCount is how many key prefixes the records are spread over.
	_shardCount = 256
	// _passInterval is the least time between the starts of two passes, whichever
	// processes make them.
	_passInterval = time.Hour
	// _checkInterval is the average time between two checks by a process whether a
	// pass is due.
	_checkInterval = 10 * time.Minute
	// _trimMargin is how much longer than promised a record is kept, to allow for
	// clock skew.
	_trimMargin = time.Hour
	// _announceDelay is the time between announcing a pass and its first
	// deletion. By then, a Begin that read the previous announcement has ended.
	_announceDelay = time.Minute
	// _freshKeyAge is the age of a key below which its record can't have been
	// trimmed.
	_freshKeyAge = 30 * time.Minute
)

// The most calls to the platform that a pass makes, per second.
const (
	_listRate   = 1
	_deleteRate = 20
)

// TrimStore is the part of the platform's object API that the Trimmer needs.
type TrimStore interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	List(ctx context.Context, prefix string) ([]storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Trimmer deletes expired records, in passes over all records. Every process has
// a Trimmer; a conditional update of the TrimRecord picks the one that makes the
// next pass. Set the fields before Run, and don't change them after.
type Trimmer struct {
	Store   TrimStore
	Process string
	// Retention returns how long records are kept, and false while there is no
	// configuration.
	Retention func() (time.Duration, bool)
	Log       logger.Logger
}

// Run makes passes until ctx ends.
func (t *Trimmer) Run(ctx context.Context) {
	for {
		pauser.Pause(ctx, _checkInterval/2+rand.N(_checkInterval))
		if ctx.Err() != nil {
			return
		}
		if err := t.RunPass(ctx); err != nil && ctx.Err() == nil {
			t.Log.Failure("trim-failed", err, nil)
		}
	}
}

// RunPass makes a pass if one is due.
func (t *Trimmer) RunPass(ctx context.Context) error {
	retention, ok := t.Retention()
	if !ok {
		return nil
	}
	cutoff, ok, err := t.announcePass(ctx, retention)
	if err != nil || !ok {
		return err
	}
	pauser.Pause(ctx, _announceDelay)
	listLimiter, deleteLimiter := rate.NewLimiter(_listRate, 1), rate.NewLimiter(_deleteRate, 1)
	deleted := 0
	for i := range _shardCount {
		if err := listLimiter.Wait(ctx); err != nil {
			return fmt.Errorf("recorder: trim: %w", err)
		}
		n, err := t.trimShard(ctx, fmt.Sprintf("%s%02x/", KeyPrefix, i), cutoff, deleteLimiter)
		deleted += n
		if err != nil {
			return fmt.Errorf("recorder: trim shard %02x: %w", i, err)
		}
	}
	t.Log.Event("trim", logger.Fields{"deleted": deleted, "through": cutoff.UTC().Format(time.RFC3339)})
	return nil
}

// announcePass claims the next pass if it is due, by writing the TrimRecord. It
// returns the cutoff, the time before which the pass deletes records, and whether
// this process is to make the pass.
func (t *Trimmer) announcePass(ctx context.Context, retention time.Duration) (time.Time, bool, error) {
	last, version, err := readTrimRecord(ctx, t.Store)
	if err != nil {
		return time.Time{}, false, err
	}
	now := time.Now()
	if now.Sub(time.UnixMilli(last.GetStartedUnixMs())) < _passInterval {
		return time.Time{}, false, nil
	}
	next := &wire.TrimRecord{
		Holder: t.Process, StartedUnixMs: now.UnixMilli(),
		ThroughUnixMs: max(last.GetThroughUnixMs(), now.Add(-retention-_trimMargin).UnixMilli()),
	}
	value, err := protojson.Marshal(next)
	if err != nil {
		return time.Time{}, false, fmt.Errorf("recorder: announce a pass: %w", err)
	}
	if version == 0 {
		_, err = t.Store.Create(ctx, TrimRecordKey, value)
	} else {
		_, err = t.Store.Update(ctx, TrimRecordKey, version, value)
	}
	if errors.Is(err, storer.ErrConflict) {
		return time.Time{}, false, nil
	}
	if err != nil {
		return time.Time{}, false, fmt.Errorf("recorder: announce a pass: %w", err)
	}
	return time.UnixMilli(next.GetThroughUnixMs()), true, nil
}

// trimShard deletes the expired records under one key prefix, and returns how many it
// deleted.
func (t *Trimmer) trimShard(ctx context.Context, prefix string, cutoff time.Time, limiter *rate.Limiter) (int, error) {
	objects, err := t.Store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, o := range objects {
		record, err := decode(o)
		if err != nil {
			t.Log.Failure("record-bad", err, logger.Fields{"key": o.Key})
			continue
		}
		if !isExpired(record, time.Now(), cutoff) {
			continue
		}
		if err := limiter.Wait(ctx); err != nil {
			return deleted, err
		}
		err = t.Store.Delete(ctx, o.Key, o.Version)
		if errors.Is(err, storer.ErrConflict) {
			// The record was claimed again meanwhile, and stays.
			continue
		}
		if err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// isExpired reports whether a record was created before the announced cutoff and
// has been kept for as long as promised.
func isExpired(r *wire.CallRecord, now, cutoff time.Time) bool {
	return time.UnixMilli(r.GetCreatedUnixMs()).Before(cutoff) &&
		time.UnixMilli(r.GetExpiresUnixMs()).Add(_trimMargin).Before(now)
}

// objectGetter reads one object.
type objectGetter interface {
	Get(ctx context.Context, key string) (storer.Object, error)
}

// readTrimRecord returns the TrimRecord and its version, which is 0 before the
// first pass.
func readTrimRecord(ctx context.Context, store objectGetter) (*wire.TrimRecord, uint64, error) {
	var record wire.TrimRecord
	o, err := store.Get(ctx, TrimRecordKey)
	if errors.Is(err, storer.ErrNotFound) {
		return &record, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("recorder: read the trim record: %w", err)
	}
	if err := protojson.Unmarshal(o.Value, &record); err != nil {
		return nil, 0, fmt.Errorf("recorder: read the trim record: %w", err)
	}
	return &record, o.Version, nil
}

// checkKey refuses a key whose record may have been trimmed, with ErrKeyExpired,
// ErrKeyInFuture, or ErrUnavailable if the TrimRecord can't be read. A longer
// retention doesn't bring back records that were trimmed under a shorter one, so
// an old key is compared with the cutoff of the last pass as well.
func (r *Recorder) checkKey(ctx context.Context, key string, now time.Time, retention time.Duration) error {
	var cutoff time.Time
	if at, ok := KeyTime(key); ok && at.Before(now.Add(-_freshKeyAge)) && at.After(now.Add(-retention)) {
		last, _, err := readTrimRecord(ctx, r.store)
		if err != nil {
			return fmt.Errorf("recorder: check the key: %w: %w", ErrUnavailable, err)
		}
		cutoff = time.UnixMilli(last.GetThroughUnixMs())
	}
	if err := CheckKey(key, now, retention, cutoff); err != nil {
		return fmt.Errorf("recorder: check the key: %w", err)
	}
	return nil
}
