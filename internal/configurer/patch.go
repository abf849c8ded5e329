package configurer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	jsonpatch "github.com/evanphx/json-patch/v5"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/comparer"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _recentChanges is how many changes the configuration object itself keeps.
const _recentChanges = 50

// ErrBase says that the patch is based on another number than the current one.
var ErrBase = errors.New("patch is based on an older configuration")

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
	return fmt.Sprintf("configurer: the configuration is at number %d, changed by %s: %s", e.Current, e.Winner.GetAuthor(), e.Winner.GetReason())
}

// Unwrap returns ErrBase.
func (e *ConflictError) Unwrap() error { return ErrBase }

// Patch applies a patch and returns the accepted change. A patch whose id was
// accepted before returns its first result. Faults of the document are
// validator.Faults, an overtaken base a *ConflictError.
func (c *Configurer) Patch(ctx context.Context, p Patch) (*wire.ConfigurationChange, error) {
	for {
		change, err := c.try(ctx, p)
		if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUncertain) {
			// The next try reads back what was written, and finds either this
			// patch's own id or the change that won.
			if ctx.Err() == nil {
				continue
			}
		}
		return change, err
	}
}

func (c *Configurer) try(ctx context.Context, p Patch) (*wire.ConfigurationChange, error) {
	o, err := c.store.Get(ctx, Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return nil, fmt.Errorf("configurer: read the configuration: %w", err)
	}
	record := &wire.ConfigurationRecord{Document: "{}"}
	if err == nil {
		if record, err = decode(o.Value); err != nil {
			return nil, err
		}
		c.Offer(record, "platform")
	}
	for _, x := range record.GetRecent() {
		if x.GetPatchId() == p.ID {
			return x, nil
		}
	}
	if p.Base != record.GetNumber() {
		return nil, &ConflictError{Current: record.GetNumber(), Winner: last(record.GetRecent())}
	}
	next, change, err := apply(record, p)
	if err != nil {
		return nil, err
	}
	if err := c.write(ctx, o.Version, next); err != nil {
		return nil, err
	}
	c.Offer(next, "patch")
	return change, nil
}

func (c *Configurer) write(ctx context.Context, version uint64, next *wire.ConfigurationRecord) error {
	value, err := protojson.Marshal(next)
	if err != nil {
		return fmt.Errorf("configurer: encode the configuration: %w", err)
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
	if len(recent) > _recentChanges {
		recent = recent[len(recent)-_recentChanges:]
	}
	return &wire.ConfigurationRecord{Number: change.GetNumber(), Document: string(document), Recent: recent}
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
