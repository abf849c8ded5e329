package recorder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Prefix is the prefix of call records in the platform.
const Prefix = "call/"

// Errors of Begin. In each case the call was not sent by this attempt.
var (
	// ErrDifferentBody says that the key was used for another call.
	ErrDifferentBody = errors.New("key was used with another body")
	// ErrUnavailable says that the record could not be created, so the call was
	// not sent.
	ErrUnavailable = errors.New("call records can't be kept now")
)

// Store is what the recorder needs of the platform.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// Recorder keeps records. Make it with New. It is safe for concurrent use.
type Recorder struct {
	store Store
	log   logger.Logger
}

// New returns a Recorder over store.
func New(store Store, log logger.Logger) *Recorder {
	return &Recorder{store: store, log: log}
}

// Claim is a record as an attempt found it.
type Claim struct {
	key     string
	version uint64
	record  *wire.CallRecord
	mine    bool
}

// Mine says that this attempt created the record and may send the call.
func (c *Claim) Mine() bool { return c.mine }

// Record returns the record. Callers must not change it.
func (c *Claim) Record() *wire.CallRecord { return c.record }

// Key returns the platform's key of a call's record.
func Key(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	text := hex.EncodeToString(sum[:])
	return Prefix + text[:2] + "/" + text
}

// Begin creates the record of a call, or returns the one that exists.
func (r *Recorder) Begin(ctx context.Context, record *wire.CallRecord) (*Claim, error) {
	key := Key(record.GetOrganisation(), record.GetService(), record.GetKey())
	value, err := protojson.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("recorder: encode the record: %w", err)
	}
	version, err := r.store.Create(ctx, key, value)
	if err == nil {
		return &Claim{key: key, version: version, record: record, mine: true}, nil
	}
	if errors.Is(err, storer.ErrUnavailable) {
		return nil, fmt.Errorf("recorder: create the record: %w: %w", ErrUnavailable, err)
	}
	// A conflict, or a lost answer: what is stored now decides.
	o, err := r.store.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("recorder: read the record back: %w: %w", ErrUnavailable, err)
	}
	var found wire.CallRecord
	if err := protojson.Unmarshal(o.Value, &found); err != nil {
		return nil, fmt.Errorf("recorder: read the record back: %w: %w", ErrUnavailable, err)
	}
	if found.GetBodySha256() != record.GetBodySha256() {
		return nil, fmt.Errorf("recorder: begin: %w", ErrDifferentBody)
	}
	return &Claim{key: key, version: o.Version, record: &found, mine: found.GetOwner() == record.GetOwner()}, nil
}

// Finish stores the outcome of a call that this attempt sent.
func (r *Recorder) Finish(ctx context.Context, c *Claim, record *wire.CallRecord) error {
	value, err := protojson.Marshal(record)
	if err != nil {
		return fmt.Errorf("recorder: encode the outcome: %w", err)
	}
	const tries = 5
	for range tries {
		if _, err = r.store.Update(ctx, c.key, c.version, value); err == nil || errors.Is(err, storer.ErrConflict) {
			// Only this attempt writes the record, so a conflict is its own
			// earlier write whose answer was lost.
			return nil
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(time.Second)
	}
	r.log.Failure("record-finish", err, logger.Fields{"key": c.key})
	return fmt.Errorf("recorder: store the outcome: %w", err)
}
