package recorder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// KeyPrefix is the prefix of call records in the platform.
const KeyPrefix = "call/"

const (
	// _beginLimit bounds Begin.
	_beginLimit = 5 * time.Second
	// _beginTries bounds the writes of one Begin.
	_beginTries = 4
	// _sendLimit is the greatest age of a claim whose call may still be sent. It
	// is far below any retention, so that a record is not trimmed before its
	// call is sent.
	_sendLimit = 10 * time.Second
)

// Errors of Begin. In each case the call was not sent by this attempt.
var (
	// ErrDifferentCall says that the key was used for another call.
	ErrDifferentCall = errors.New("key was used with another body")
	// ErrUnavailable says that the record could not be created, so the call was
	// not sent.
	ErrUnavailable = errors.New("call records can't be kept now")
)

// Store is what the recorder needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// Recorder keeps records. Make it with New and Close it. It is safe for
// concurrent use.
type Recorder struct {
	store   Store
	log     logger.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	settles sync.WaitGroup

	mu sync.Mutex
	// unsent holds the owners that gave up before sending and whose NOT_RUN is
	// not stored yet.
	unsent map[string]bool
}

// New returns a Recorder over store.
func New(store Store, log logger.Logger) *Recorder {
	r := &Recorder{store: store, log: log, unsent: make(map[string]bool)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Claim is a record as an attempt found it.
type Claim struct {
	key     string
	version uint64
	record  *wire.CallRecord
	mine    bool
	begun   time.Time
}

// IsOwner says that this attempt claimed the record and may send the call.
func (c *Claim) IsOwner() bool { return c.mine }

// Record returns the record. Callers must not change it.
func (c *Claim) Record() *wire.CallRecord { return c.record }

// Sendable says that the claim is fresh enough to send its call. A process
// that was paused after Begin finds its claim too old. Both the monotonic and
// the wall clock count, since either may stand still during a pause.
func (c *Claim) Sendable(now time.Time) bool {
	wall := now.Round(0).Sub(c.begun.Round(0))
	return c.mine && now.Sub(c.begun) < _sendLimit && wall < _sendLimit
}

// RecordKey returns the platform's key of a call's record.
func RecordKey(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	text := hex.EncodeToString(sum[:])
	return KeyPrefix + text[:2] + "/" + text
}

// Begin claims the record of a call, or returns the one that exists. The
// record's owner must be unique to this attempt. Begin sets the times of the
// record, goes on when ctx is cancelled, and ends within a few seconds.
func (r *Recorder) Begin(ctx context.Context, record *wire.CallRecord, retention time.Duration) (*Claim, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _beginLimit)
	defer cancel()
	c := &Claim{key: RecordKey(record.GetOrganisation(), record.GetService(), record.GetKey()), record: record, begun: time.Now()}
	if err := r.admit(ctx, record.GetKey(), c.begun, retention); err != nil {
		return nil, err
	}
	record.CreatedUnixMs, record.ExpiresUnixMs = c.begun.UnixMilli(), c.begun.Add(retention).UnixMilli()
	value, err := protojson.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("recorder: encode the record: %w", err)
	}
	uncertain := false
	for range _beginTries {
		base := c.version
		version, writeErr := r.write(ctx, c.key, base, value)
		if writeErr == nil {
			c.version, c.mine = version, true
			return c, nil
		}
		err = writeErr
		if errors.Is(err, storer.ErrUnavailable) {
			break
		}
		uncertain = uncertain || !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrNotFound)
		// A conflict, or a lost answer: what is stored now decides.
		var found *Claim
		if found, err = r.find(ctx, c); err != nil {
			break
		}
		if found == nil {
			c.version = 0
			continue
		}
		if found.record.GetBodySha256() != record.GetBodySha256() {
			return nil, fmt.Errorf("recorder: begin: %w", ErrDifferentCall)
		}
		if found.mine || !r.claimable(found.record) {
			return found, nil
		}
		// The same write again under the found version; an earlier one that is
		// still out conflicts with it.
		c.version = found.version
	}
	if uncertain {
		r.Abandon(c)
	}
	return nil, fmt.Errorf("recorder: claim the record: %w: %w", ErrUnavailable, err)
}

// find reads the record back; nil says that there is none.
func (r *Recorder) find(ctx context.Context, c *Claim) (*Claim, error) {
	o, err := r.store.Get(ctx, c.key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read it back: %w", err)
	}
	found, err := decode(o)
	if err != nil {
		return nil, err
	}
	mine := found.GetOwner() == c.record.GetOwner()
	return &Claim{key: c.key, version: o.Version, record: found, mine: mine, begun: c.begun}, nil
}

// claimable says that the record's attempt ended without sending the call.
func (r *Recorder) claimable(record *wire.CallRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return record.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN || r.unsent[record.GetOwner()]
}

// write creates the record where version is 0, else updates that version.
func (r *Recorder) write(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if version == 0 {
		return r.store.Create(ctx, key, value)
	}
	return r.store.Update(ctx, key, version, value)
}

// Wait returns the record as soon as its attempt stored an outcome, or as it
// stands when ctx ends.
func (r *Recorder) Wait(ctx context.Context, c *Claim) *wire.CallRecord {
	const (
		slice = 5 * time.Second
		pause = 500 * time.Millisecond
	)
	record, version := c.record, c.version
	for ctx.Err() == nil && record.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED {
		o, err := r.store.Watch(ctx, c.key, version, slice)
		if err == nil {
			var next *wire.CallRecord
			if next, err = decode(o); err == nil {
				record, version = next, o.Version
				continue
			}
		}
		if !errors.Is(err, storer.ErrUnchanged) {
			pauser.Pause(ctx, pause)
		}
	}
	return record
}

func decode(o storer.Object) (*wire.CallRecord, error) {
	var record wire.CallRecord
	if err := protojson.Unmarshal(o.Value, &record); err != nil {
		return nil, fmt.Errorf("decode %s: %w", o.Key, err)
	}
	return &record, nil
}
