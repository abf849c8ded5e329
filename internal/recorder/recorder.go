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

// KeyPrefix is the prefix of the keys of call records in the platform.
const KeyPrefix = "call/"

const (
	// _beginTimeout bounds the time that Begin takes.
	_beginTimeout = 5 * time.Second
	// _maxBeginWrites bounds how many writes one Begin makes.
	_maxBeginWrites = 4
	// _maxClaimAge is the greatest age of a claim at which its call may still be
	// sent. It is far below any retention, so that a record isn't trimmed before
	// its call is sent.
	_maxClaimAge = 10 * time.Second
)

// Errors of Begin, besides those of CheckKey. After each of them the attempt must
// not send the call.
var (
	// ErrDifferentCall says that the key was used for a call with another method,
	// path or body.
	ErrDifferentCall = errors.New("idempotency key was used for another call")
	// ErrUnavailable says that the record could not be claimed, or that its key
	// could not be checked, for lack of a response from the platform.
	ErrUnavailable = errors.New("call records are unavailable")
)

// Store is the part of the platform's object API that the Recorder needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// Recorder keeps the records of calls. Make it with New, and call Close at the
// end. It is safe for concurrent use.
type Recorder struct {
	store         Store
	log           logger.Logger
	ctx           context.Context
	cancel        context.CancelFunc
	outcomeWrites sync.WaitGroup

	mu sync.Mutex
	// unsent holds the owner ids of attempts that gave up before sending and whose
	// outcome NOT_RUN is not stored yet.
	unsent map[string]bool
}

// New returns a Recorder that keeps its records in store.
func New(store Store, log logger.Logger) *Recorder {
	r := &Recorder{store: store, log: log, unsent: make(map[string]bool)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Claim is the record that Begin claimed for an attempt, or found.
type Claim struct {
	key       string
	version   uint64
	record    *wire.CallRecord
	isOwner   bool
	claimedAt time.Time
}

// IsOwner reports whether this attempt claimed the record and may send the call.
func (c *Claim) IsOwner() bool { return c.isOwner }

// Record returns the record. Callers must not change it.
func (c *Claim) Record() *wire.CallRecord { return c.record }

// Sendable reports whether the claim is young enough to send its call. After a
// pause of the process, the claim may be too old. Its age is measured by both the
// monotonic and the wall clock, since either may stand still during a pause.
func (c *Claim) Sendable(now time.Time) bool {
	wall := now.Round(0).Sub(c.claimedAt.Round(0))
	return c.isOwner && now.Sub(c.claimedAt) < _maxClaimAge && wall < _maxClaimAge
}

// RecordKey returns the platform's key of the record of a call, given its
// organisation, service and idempotency key.
func RecordKey(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	text := hex.EncodeToString(sum[:])
	return KeyPrefix + text[:2] + "/" + text
}

// Begin claims the record of a call, or returns the one that exists. The
// record's owner must be unique to this attempt. Begin sets the record's creation
// and expiry times. It continues when ctx is cancelled, and takes 5 s at most.
// Its errors are ErrDifferentCall, ErrUnavailable and those of CheckKey.
func (r *Recorder) Begin(ctx context.Context, record *wire.CallRecord, retention time.Duration) (*Claim, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _beginTimeout)
	defer cancel()
	c := &Claim{key: RecordKey(record.GetOrganisation(), record.GetService(), record.GetKey()), record: record, claimedAt: time.Now()}
	if err := r.checkKey(ctx, record.GetKey(), c.claimedAt, retention); err != nil {
		return nil, err
	}
	record.CreatedUnixMs, record.ExpiresUnixMs = c.claimedAt.UnixMilli(), c.claimedAt.Add(retention).UnixMilli()
	value, err := protojson.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("recorder: encode the record: %w", err)
	}
	uncertain := false
	for range _maxBeginWrites {
		base := c.version
		version, writeErr := r.write(ctx, c.key, base, value)
		if writeErr == nil {
			c.version, c.isOwner = version, true
			return c, nil
		}
		err = writeErr
		if errors.Is(err, storer.ErrUnavailable) {
			break
		}
		uncertain = uncertain || !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrNotFound)
		// After a conflict or a lost response, the stored record decides.
		var found *Claim
		if found, err = r.readBack(ctx, c); err != nil {
			break
		}
		if found == nil {
			c.version = 0
			continue
		}
		if found.record.GetBodySha256() != record.GetBodySha256() {
			return nil, fmt.Errorf("recorder: begin: %w", ErrDifferentCall)
		}
		if found.isOwner || !r.claimable(found.record) {
			return found, nil
		}
		// Repeat the write, conditional on the version found. An earlier write
		// that takes effect late conflicts with this one.
		c.version = found.version
	}
	if uncertain {
		r.Abandon(c)
	}
	return nil, fmt.Errorf("recorder: claim the record: %w: %w", ErrUnavailable, err)
}

// readBack reads the stored record, and returns nil if there is none.
func (r *Recorder) readBack(ctx context.Context, c *Claim) (*Claim, error) {
	o, err := r.store.Get(ctx, c.key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the record back: %w", err)
	}
	found, err := decode(o)
	if err != nil {
		return nil, err
	}
	isOwner := found.GetOwner() == c.record.GetOwner()
	return &Claim{key: c.key, version: o.Version, record: found, isOwner: isOwner, claimedAt: c.claimedAt}, nil
}

// claimable reports whether the record's owner ended without sending the call.
func (r *Recorder) claimable(record *wire.CallRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return record.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN || r.unsent[record.GetOwner()]
}

// write creates the record if version is 0, and updates that version otherwise.
func (r *Recorder) write(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if version == 0 {
		return r.store.Create(ctx, key, value)
	}
	return r.store.Update(ctx, key, version, value)
}

// Wait returns the record once its owner has stored an outcome, or as it was last
// read when ctx ends.
func (r *Recorder) Wait(ctx context.Context, c *Claim) *wire.CallRecord {
	const (
		watchWait  = 5 * time.Second
		retryDelay = 500 * time.Millisecond
	)
	record, version := c.record, c.version
	for ctx.Err() == nil && record.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED {
		o, err := r.store.Watch(ctx, c.key, version, watchWait)
		if err == nil {
			var next *wire.CallRecord
			if next, err = decode(o); err == nil {
				record, version = next, o.Version
				continue
			}
		}
		if !errors.Is(err, storer.ErrUnchanged) {
			pauser.Pause(ctx, retryDelay)
		}
	}
	return record
}

// decode decodes the record that is stored in an object.
func decode(o storer.Object) (*wire.CallRecord, error) {
	var record wire.CallRecord
	if err := protojson.Unmarshal(o.Value, &record); err != nil {
		return nil, fmt.Errorf("decode %s: %w", o.Key, err)
	}
	return &record, nil
}
