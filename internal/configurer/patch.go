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
	// _maxRecentChanges and _maxRecentBytes bound the changes that the
	// configuration object itself holds, by count and by size in bytes; it always
	// holds the newest one.
	_maxRecentChanges = 50
	_maxRecentBytes   = 256 << 10
	// _patchTimeout is how long Patch retries.
	_patchTimeout = 10 * time.Second
	// _initialRetryWait and _maxRetryWait bound the exponential backoff
	// between two attempts.
	_initialRetryWait = 50 * time.Millisecond
	_maxRetryWait     = 2 * time.Second
)

// Errors that Patch returns; compare them with errors.Is.
var (
	// ErrBaseMismatch means that the base of the patch is not the current number
	// of the configuration.
	ErrBaseMismatch = errors.New("patch is not based on the current configuration")
	// ErrTooLarge means that the patched configuration exceeds the size limit of an
	// object in the platform's store.
	ErrTooLarge = errors.New("configuration is too large")
)

// errStale means that the platform answered with an older state than this process
// has seen.
var errStale = errors.New("the platform answered with an older state than this process has seen")

// Patch is a change of the configuration that an operator requests. The ID makes
// retries idempotent.
type Patch struct {
	ID     string          `json:"patch_id"`
	Base   uint64          `json:"base"` // the configuration number that the patch was made for
	Author string          `json:"author"`
	Reason string          `json:"reason"`
	Merge  json.RawMessage `json:"patch"` // JSON merge patch, RFC 7396
}

// ConflictError means that the base of a patch is not the current number of the
// configuration. Winner is the newest accepted change.
type ConflictError struct {
	Base    uint64                    // number that the patch was made for
	Current uint64                    // number of the configuration
	Winner  *wire.ConfigurationChange // nil if no change was accepted after the base
}

// Error returns a text with the current number and, if there is one, the change that was
// accepted first.
func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("configurer: the configuration is at number %d; there is no number %d for a patch to be made for", e.Current, e.Base)
	}
	return fmt.Sprintf("configurer: the configuration is at number %d; number %d was accepted first, by %s: %s",
		e.Current, e.Winner.GetNumber(), e.Winner.GetAuthor(), e.Winner.GetReason())
}

// Unwrap returns ErrBaseMismatch.
func (e *ConflictError) Unwrap() error { return ErrBaseMismatch }

// Patch applies a patch and returns the accepted change. For a patch whose id was
// accepted before, it returns the change that was accepted then.
//
// Patch returns validator.Faults if the patched document is not valid, and a
// *ConflictError if the base is not the current number. These errors and
// ErrTooLarge mean that the patch was not accepted. After any other error the
// outcome is unknown, even if this call wrote nothing, since an earlier call with
// the same id may have been accepted.
//
// While the platform fails or other writers come first, Patch retries for up to
// 10 s (_patchTimeout).
func (c *Configurer) Patch(ctx context.Context, p Patch) (*wire.ConfigurationChange, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = _initialRetryWait
	wait.MaxInterval = _maxRetryWait
	return backoff.Retry(ctx, func() (*wire.ConfigurationChange, error) {
		change, err := c.tryPatch(ctx, p)
		if err != nil && !isTransient(err) {
			err = backoff.Permanent(err)
		}
		return change, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(_patchTimeout))
}

// isTransient reports whether another attempt may succeed. The next attempt reads
// the stored record, which shows whether this patch or another one was accepted.
func isTransient(err error) bool {
	return errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUncertain) ||
		errors.Is(err, storer.ErrUnavailable) || errors.Is(err, errStale)
}

// tryPatch reads the stored record and, unless the patch was accepted before,
// applies the patch to it and writes the result.
func (c *Configurer) tryPatch(ctx context.Context, p Patch) (*wire.ConfigurationChange, error) {
	record, version, err := c.readRecord(ctx)
	if err != nil {
		return nil, err
	}
	first, err := c.acceptedChange(ctx, record, p.ID)
	if err != nil || first != nil {
		return first, err
	}
	if p.Base != record.GetNumber() {
		if p.Base < record.GetNumber() {
			first, err := c.changeAfter(ctx, record, p.Base)
			if err != nil || first.GetPatchId() == p.ID {
				return first, err
			}
		}
		return nil, newConflict(record, p.Base)
	}
	next, change, err := applyPatch(record, p)
	if err != nil {
		return nil, err
	}
	if err := c.archiveDropped(ctx, record, next); err != nil {
		return nil, err
	}
	if err := c.writeRecord(ctx, version, next); err != nil {
		return nil, err
	}
	c.ApplyRecord(next, "patch")
	return change, nil
}

// readRecord reads the stored record and the version of its object, which is 0 if
// there is none yet. It returns errStale for a record older than the one in force.
func (c *Configurer) readRecord(ctx context.Context) (*wire.ConfigurationRecord, uint64, error) {
	record := &wire.ConfigurationRecord{Document: "{}"}
	o, err := c.store.Get(ctx, Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return nil, 0, fmt.Errorf("configurer: read the configuration: %w", err)
	}
	if err == nil {
		if record, err = decodeRecord(o.Value); err != nil {
			return nil, 0, err
		}
		c.ApplyRecord(record, "platform")
	}
	if current := c.Current().Number(); record.GetNumber() < current {
		return nil, 0, fmt.Errorf("configurer: read the configuration: got number %d while number %d is in force: %w", record.GetNumber(), current, errStale)
	}
	return record, o.Version, nil
}

// newConflict returns the error for a patch with a base that is not the record's number.
func newConflict(record *wire.ConfigurationRecord, base uint64) *ConflictError {
	e := &ConflictError{Base: base, Current: record.GetNumber()}
	if base < e.Current {
		e.Winner = newest(record.GetRecent())
	}
	return e
}

// changeAfter returns the change with number base+1. It is the caller's own change
// if a stale response of the platform hid that the patch was accepted.
func (c *Configurer) changeAfter(ctx context.Context, record *wire.ConfigurationRecord, base uint64) (*wire.ConfigurationChange, error) {
	changes, err := c.changesAfter(ctx, record, base, 1)
	if errors.Is(err, errMissing) {
		// The change exists in the archive, since changes are archived before the
		// record drops them, so the platform's response is stale.
		return nil, fmt.Errorf("%w: %w", err, errStale)
	}
	if err != nil {
		return nil, err
	}
	return changes[0], nil
}

// writeRecord writes the record if the version of the stored object is still the
// one given.
func (c *Configurer) writeRecord(ctx context.Context, version uint64, next *wire.ConfigurationRecord) error {
	value, err := protojson.Marshal(next)
	if err != nil {
		return fmt.Errorf("configurer: encode the configuration: %w", err)
	}
	if len(value) > storer.MaxValueBytes {
		return fmt.Errorf("configurer: %w: %d bytes with the change, limit %d", ErrTooLarge, len(value), storer.MaxValueBytes)
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

// applyPatch merges a patch into the record's document, validates the result and
// returns the next record and the change that leads to it.
func applyPatch(record *wire.ConfigurationRecord, p Patch) (*wire.ConfigurationRecord, *wire.ConfigurationChange, error) {
	merged, err := jsonpatch.MergePatch([]byte(record.GetDocument()), p.Merge)
	if err != nil {
		return nil, nil, fmt.Errorf("configurer: merge the patch: %w", err)
	}
	if _, err := validator.Parse(merged); err != nil {
		return nil, nil, err
	}
	if merged, err = canonicalise(merged); err != nil {
		return nil, nil, err
	}
	values, err := changedValues([]byte(record.GetDocument()), merged)
	if err != nil {
		return nil, nil, err
	}
	change := &wire.ConfigurationChange{
		Number: record.GetNumber() + 1, PatchId: p.ID, Author: p.Author, Reason: p.Reason,
		AcceptedUnixMs: time.Now().UnixMilli(), Patch: string(p.Merge), Values: values,
		DocumentHash: xxhash.Sum64(merged),
	}
	return nextRecord(record, change, merged), change, nil
}

// nextRecord returns the successor of record, with change as the newest change and
// the document that results. It drops the oldest recent changes beyond the limits.
func nextRecord(record *wire.ConfigurationRecord, change *wire.ConfigurationChange, document []byte) *wire.ConfigurationRecord {
	recent := append(slices.Clip(record.GetRecent()), change)
	for len(recent) > 1 && (len(recent) > _maxRecentChanges || binarySize(recent) > _maxRecentBytes) {
		recent = recent[1:]
	}
	return &wire.ConfigurationRecord{Number: change.GetNumber(), Document: string(document), Recent: recent}
}

// binarySize returns the total size of changes in protobuf's binary encoding, in
// bytes.
func binarySize(changes []*wire.ConfigurationChange) int {
	n := 0
	for _, x := range changes {
		n += proto.Size(x)
	}
	return n
}

// canonicalise returns the canonical JSON text of a document, with members sorted
// by name and without spaces, so that the same patch gives the same bytes, and
// the same hash, in every process.
func canonicalise(document []byte) ([]byte, error) {
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

// changedValues returns the values that differ between two documents, each with
// its path.
func changedValues(before, after []byte) ([]*wire.ValueChange, error) {
	values, err := comparer.Compare(before, after)
	if err != nil {
		return nil, fmt.Errorf("configurer: compare the documents: %w", err)
	}
	out := make([]*wire.ValueChange, len(values))
	for i, v := range values {
		out[i] = &wire.ValueChange{Path: v.Path, Before: v.Before, After: v.After}
	}
	return out, nil
}

// newest returns the last of changes, nil if there are none.
func newest(changes []*wire.ConfigurationChange) *wire.ConfigurationChange {
	if len(changes) == 0 {
		return nil
	}
	return changes[len(changes)-1]
}
