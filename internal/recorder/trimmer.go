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

// TrimRecordKey is the platform's key of the TrimRecord.
const TrimRecordKey = "call-trim"

const (
	// _shards is how many prefixes the records are spread over.
	_shards = 256
	// _passInterval is the time between two passes of the whole system.
	_passInterval = time.Hour
	// _checkInterval is how often, on average, a process looks whether a pass is
	// due.
	_checkInterval = 10 * time.Minute
	// _trimMargin is how much longer than promised a record is kept, for the
	// difference of clocks.
	_trimMargin = time.Hour
	// _announceWait is the time between announcing a pass and its first
	// deletion. A Begin that read the older announcement has ended by then.
	_announceWait = time.Minute
	// _freshKey is the age below which no key's record can have been trimmed.
	_freshKey = 30 * time.Minute
)

// Calls a second that a pass makes at most.
const (
	_listRate   = 1
	_deleteRate = 20
)

// TrimStore is what the trimmer needs of the platform.
type TrimStore interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	List(ctx context.Context, prefix string) ([]storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Trimmer deletes expired records. One process of the system makes a pass at a
// time, chosen by a conditional update. Set the fields before Run; they don't
// change after.
type Trimmer struct {
	Store   TrimStore
	Process string
	// Retention returns how long records are kept, and false while the
	// configuration is not known.
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
			t.Log.Failure("trim-pass", err, nil)
		}
	}
}

// RunPass makes a pass where one is due, and does nothing otherwise.
func (t *Trimmer) RunPass(ctx context.Context) error {
	retention, ok := t.Retention()
	if !ok {
		return nil
	}
	through, ok, err := t.announce(ctx, retention)
	if err != nil || !ok {
		return err
	}
	pauser.Pause(ctx, _announceWait)
	lists, deletes := rate.NewLimiter(_listRate, 1), rate.NewLimiter(_deleteRate, 1)
	deleted := 0
	for i := range _shards {
		if err := lists.Wait(ctx); err != nil {
			return fmt.Errorf("recorder: trim: %w", err)
		}
		n, err := t.shard(ctx, fmt.Sprintf("%s%02x/", KeyPrefix, i), through, deletes)
		deleted += n
		if err != nil {
			return fmt.Errorf("recorder: trim shard %02x: %w", i, err)
		}
	}
	t.Log.Event("trim", logger.Fields{"deleted": deleted, "through": through.UTC().Format(time.RFC3339)})
	return nil
}

// announce claims a pass that is due, and returns the time before which it
// deletes.
func (t *Trimmer) announce(ctx context.Context, retention time.Duration) (time.Time, bool, error) {
	last, version, err := readTrim(ctx, t.Store)
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
		return time.Time{}, false, fmt.Errorf("recorder: announce a trim: %w", err)
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
		return time.Time{}, false, fmt.Errorf("recorder: announce a trim: %w", err)
	}
	return time.UnixMilli(next.GetThroughUnixMs()), true, nil
}

// shard deletes the expired records of one prefix.
func (t *Trimmer) shard(ctx context.Context, prefix string, through time.Time, deletes *rate.Limiter) (int, error) {
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
		if !expired(record, time.Now(), through) {
			continue
		}
		if err := deletes.Wait(ctx); err != nil {
			return deleted, err
		}
		// A conflict says that the record was claimed again.
		if err := t.Store.Delete(ctx, o.Key, o.Version); err != nil && !errors.Is(err, storer.ErrConflict) {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// expired says that a record is older than announced and than promised.
func expired(r *wire.CallRecord, now, through time.Time) bool {
	return time.UnixMilli(r.GetCreatedUnixMs()).Before(through) &&
		time.UnixMilli(r.GetExpiresUnixMs()).Add(_trimMargin).Before(now)
}

// getter reads one object.
type getter interface {
	Get(ctx context.Context, key string) (storer.Object, error)
}

// readTrim reads the TrimRecord; its version is 0 before the first pass.
func readTrim(ctx context.Context, store getter) (*wire.TrimRecord, uint64, error) {
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

// admit refuses a key whose record may have been trimmed: ErrKeyExpired,
// ErrKeyFuture, or ErrUnavailable where that can't be told now. A retention
// that was lengthened doesn't bring trimmed records back, so an old key is
// compared with the last trim as well.
func (r *Recorder) admit(ctx context.Context, key string, now time.Time, retention time.Duration) error {
	var through time.Time
	if at, ok := KeyTime(key); ok && at.Before(now.Add(-_freshKey)) && at.After(now.Add(-retention)) {
		last, _, err := readTrim(ctx, r.store)
		if err != nil {
			return fmt.Errorf("recorder: admit the key: %w: %w", ErrUnavailable, err)
		}
		through = time.UnixMilli(last.GetThroughUnixMs())
	}
	if err := CheckKey(key, now, retention, through); err != nil {
		return fmt.Errorf("recorder: admit the key: %w", err)
	}
	return nil
}
