package configurer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	jsonpatch "github.com/evanphx/json-patch/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/comparer"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _recentChanges and _recentBytes bound the changes that the configuration
	// object itself keeps; the newest one always stays.
	_recentChanges = 50
	_recentBytes   = 256 << 10
	// _patchLimit is how long Patch tries.
	_patchLimit = 10 * time.Second
	// _firstRetryWait and _lastRetryWait bound the pause between two tries.
	_firstRetryWait = 50 * time.Millisecond
	_lastRetryWait  = 2 * time.Second
)

// Errors of Patch. Test with errors.Is.
var (
	// ErrBaseMismatch says that the patch is based on another number than the current
	// one.
	ErrBaseMismatch = errors.New("patch is not based on the current configuration")
	// ErrTooLarge says that the configuration would not fit the platform.
	ErrTooLarge = errors.New("configuration is too large")
)

// errStale says that the platform answered with an older state than was seen.
var errStale = errors.New("the platform's answer is older than what is known")

// Patch is an operator's change.
type Patch struct {
	ID     string          `json:"patch_id"`
	Base   uint64          `json:"base"` // the number that the operator looked at
	Author string          `json:"author"`
	Reason string          `json:"reason"`
	Merge  json.RawMessage `json:"patch"` // JSON merge patch, RFC 7396
}

// ConflictError is returned for a patch whose base was overtaken. It holds the
// change that won.
type ConflictError struct {
	Current uint64
	Winner  *wire.ConfigurationChange
}

// Error says which change won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configurer: the configuration is at number %d; number %d was accepted first, by %s: %s",
		e.Current, e.Winner.GetNumber(), e.Winner.GetAuthor(), e.Winner.GetReason())
}

// Unwrap returns ErrBase.
func (e *ConflictError) Unwrap() error { return ErrBaseMismatch }

// Patch applies a patch and returns the accepted change. A patch whose id was
// accepted before returns its first result. Faults of the document are
// validator.Faults, an overtaken base a *ConflictError. These and ErrTooLarge say
// that the patch was not accepted; any other error leaves it open, also where
// nothing was sent, since an earlier Patch with the id may have been accepted.
//
// While the platform fails or other writers come first, Patch tries again for
// up to _patchLimit.
func (c *Configurer) Patch(ctx context.Context, p Patch) (*wire.ConfigurationChange, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = _firstRetryWait
	wait.MaxInterval = _lastRetryWait
	return backoff.Retry(ctx, func() (*wire.ConfigurationChange, error) {
		change, err := c.try(ctx, p)
		if err != nil && !transient(err) {
			err = backoff.Permanent(err)
		}
		return change, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(_patchLimit))
}

// transient says that another try may succeed: the next one reads back what is
// stored, and finds this patch's own id or the change that won.
func transient(err error) bool {
	return errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUncertain) ||
		errors.Is(err, storer.ErrUnavailable) || errors.Is(err, errStale)
}

func (c *Configurer) try(ctx context.Context, p Patch) (*wire.ConfigurationChange, error) {
	record, version, err := c.stored(ctx)
	if err != nil {
		return nil, err
	}
	first, err := c.accepted(ctx, record, p.ID)
	if err != nil || first != nil {
		return first, err
	}
	if p.Base != record.GetNumber() {
		if p.Base < record.GetNumber() {
			first, err := c.next(ctx, record, p.Base)
			if err != nil || first.GetPatchId() == p.ID {
				return first, err
			}
		}
		return nil, &ConflictError{Current: record.GetNumber(), Winner: last(record.GetRecent())}
	}
	next, change, err := apply(record, p)
	if err != nil {
		return nil, err
	}
	if err := c.archive(ctx, record, next); err != nil {
		return nil, err
	}
	if err := c.write(ctx, version, next); err != nil {
		return nil, err
	}
	c.ApplyRecord(next, "patch")
	return change, nil
}

// stored reads the configuration and its version, 0 where there is none yet.
func (c *Configurer) stored(ctx context.Context) (*wire.ConfigurationRecord, uint64, error) {
	record := &wire.ConfigurationRecord{Document: "{}"}
	o, err := c.store.Get(ctx, Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return nil, 0, fmt.Errorf("configurer: read the configuration: %w", err)
	}
	if err == nil {
		if record, err = decode(o.Value); err != nil {
			return nil, 0, err
		}
		c.ApplyRecord(record, "platform")
	}
	if current := c.Current().Number(); record.GetNumber() < current {
		return nil, 0, fmt.Errorf("configurer: read the configuration: number %d while %d is known: %w", record.GetNumber(), current, errStale)
	}
	return record, o.Version, nil
}

// next returns the change that took the number after base. It has the patch's
// own id where a stale answer hid that the patch was accepted.
func (c *Configurer) next(ctx context.Context, record *wire.ConfigurationRecord, base uint64) (*wire.ConfigurationChange, error) {
	changes, err := c.history(ctx, record, base, 1)
	if err != nil {
		return nil, err
	}
	if changes[0].GetNumber() != base+1 {
		// Each number below the recent ones was archived before it left them.
		return nil, fmt.Errorf("configurer: read the archive: change %d is missing: %w", base+1, errStale)
	}
	return changes[0], nil
}

func (c *Configurer) write(ctx context.Context, version uint64, next *wire.ConfigurationRecord) error {
	value, err := protojson.Marshal(next)
	if err != nil {
		return fmt.Errorf("configurer: encode the configuration: %w", err)
	}
	if len(value) > storer.MaxValueBytes {
		return fmt.Errorf("configurer: %w: %d bytes with the change, allowed: %d", ErrTooLarge, len(value), storer.MaxValueBytes)
	}
	if version == 0 {
		_, err = c.store.Create(ctx, Key, value)
	} else {
		_, err = c.store.Update(ctx, Key, version, value)
	}
	if err != nil {
		return fmt.Errorf("configurer: write the configuration: %w", err)
	}
	return nil
}

func apply(record *wire.ConfigurationRecord, p Patch) (*wire.ConfigurationRecord, *wire.ConfigurationChange, error) {
	merged, err := jsonpatch.MergePatch([]byte(record.GetDocument()), p.Merge)
	if err != nil {
		return nil, nil, fmt.Errorf("configurer: merge the patch: %w", err)
	}
	if _, err := validator.Parse(merged); err != nil {
		return nil, nil, err
	}
	if merged, err = canonical(merged); err != nil {
		return nil, nil, err
	}
	values, err := changed([]byte(record.GetDocument()), merged)
	if err != nil {
		return nil, nil, err
	}
	change := &wire.ConfigurationChange{
		Number: record.GetNumber() + 1, PatchId: p.ID, Author: p.Author, Reason: p.Reason,
		AcceptedUnixMs: time.Now().UnixMilli(), Patch: string(p.Merge), Values: values,
		DocumentHash: xxhash.Sum64(merged),
	}
	return follow(record, change, merged), change, nil
}

// follow returns the record that a change makes of another.
func follow(record *wire.ConfigurationRecord, change *wire.ConfigurationChange, document []byte) *wire.ConfigurationRecord {
	recent := append(slices.Clip(record.GetRecent()), change)
	for len(recent) > 1 && (len(recent) > _recentChanges || size(recent) > _recentBytes) {
		recent = recent[1:]
	}
	return &wire.ConfigurationRecord{Number: change.GetNumber(), Document: string(document), Recent: recent}
}

// size returns the bytes of changes in their binary form.
func size(changes []*wire.ConfigurationChange) int {
	n := 0
	for _, x := range changes {
		n += proto.Size(x)
	}
	return n
}

// canonical returns the one text of a document: members in the order of their
// names, no spaces. So the same patch makes the same bytes in every process.
func canonical(document []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(document))
	dec.UseNumber()
	var value any
	if err := dec.Decode(&value); err != nil {
		return nil, fmt.Errorf("configurer: decode the document: %w", err)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("configurer: encode the document: %w", err)
	}
	return text, nil
}

// changed returns the values that a patch changes.
func changed(before, after []byte) ([]*wire.ValueChange, error) {
	values, err := comparer.Compare(before, after)
	if err != nil {
		return nil, fmt.Errorf("configurer: compare: %w", err)
	}
	out := make([]*wire.ValueChange, len(values))
	for i, v := range values {
		out[i] = &wire.ValueChange{Path: v.Path, Before: v.Before, After: v.After}
	}
	return out, nil
}

func last(changes []*wire.ConfigurationChange) *wire.ConfigurationChange {
	if len(changes) == 0 {
		return nil
	}
	return changes[len(changes)-1]
}
