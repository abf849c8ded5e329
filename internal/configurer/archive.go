package configurer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _archivePrefix goes before a change's number, and _patchPrefix before the
	// digest of its patch id. Both hold the change.
	_archivePrefix = "configuration-archive/"
	_patchPrefix   = "configuration-patch/"
	// _historyLimit is the most changes that History returns.
	_historyLimit = 100
)

func archiveKey(number uint64) string { return fmt.Sprintf("%s%020d", _archivePrefix, number) }

func patchKey(id string) string {
	digest := sha256.Sum256([]byte(id))
	return _patchPrefix + hex.EncodeToString(digest[:])
}

// archive keeps for good the changes that the next record no longer holds.
func (c *Configurer) archive(ctx context.Context, record, next *wire.ConfigurationRecord) error {
	oldest := next.GetRecent()[0].GetNumber()
	for _, x := range record.GetRecent() {
		if x.GetNumber() >= oldest {
			return nil
		}
		if err := c.keep(ctx, archiveKey(x.GetNumber()), x); err != nil {
			return err
		}
		if err := c.keep(ctx, patchKey(x.GetPatchId()), x); err != nil {
			return err
		}
	}
	return nil
}

// keep creates an archive object. One that exists is the same change, kept by
// an earlier try or another writer.
func (c *Configurer) keep(ctx context.Context, key string, x *wire.ConfigurationChange) error {
	value, err := protojson.Marshal(x)
	if err != nil {
		return fmt.Errorf("configurer: encode change %d: %w", x.GetNumber(), err)
	}
	_, err = c.store.Create(ctx, key, value)
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return fmt.Errorf("configurer: archive change %d: %w", x.GetNumber(), err)
	}
	return nil
}

// accepted returns the change that a patch id made, nil where there is none.
func (c *Configurer) accepted(ctx context.Context, record *wire.ConfigurationRecord, id string) (*wire.ConfigurationChange, error) {
	for _, x := range record.GetRecent() {
		if x.GetPatchId() == id {
			return x, nil
		}
	}
	if uint64(len(record.GetRecent())) == record.GetNumber() {
		return nil, nil
	}
	return c.kept(ctx, patchKey(id))
}

// kept reads an archive object, nil where there is none.
func (c *Configurer) kept(ctx context.Context, key string) (*wire.ConfigurationChange, error) {
	o, err := c.store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("configurer: read the archive: %w", err)
	}
	var x wire.ConfigurationChange
	if err := protojson.Unmarshal(o.Value, &x); err != nil {
		return nil, fmt.Errorf("configurer: read the archive at %s: %w", key, err)
	}
	return &x, nil
}

// History returns up to 100 accepted changes with numbers after the one given,
// in order.
func (c *Configurer) History(ctx context.Context, after uint64) ([]*wire.ConfigurationChange, error) {
	record := c.Current().Record()
	return c.history(ctx, record, after, _historyLimit)
}

// history returns the changes after a number, at most limit, from the record
// and, where it no longer holds them, from the archive.
func (c *Configurer) history(ctx context.Context, record *wire.ConfigurationRecord, after uint64, limit int) ([]*wire.ConfigurationChange, error) {
	var out []*wire.ConfigurationChange
	recent := record.GetRecent()
	for n := after + 1; n <= record.GetNumber() && len(out) < limit; n++ {
		if oldest := record.GetNumber() + 1 - uint64(len(recent)); n >= oldest {
			out = append(out, recent[n-oldest])
			continue
		}
		x, err := c.kept(ctx, archiveKey(n))
		if err != nil {
			return out, err
		}
		if x != nil {
			out = append(out, x)
		}
	}
	return out, nil
}
