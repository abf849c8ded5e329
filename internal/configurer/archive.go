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
	// _numberPrefix comes before a change's number in the key of an archive
	// object, and _patchIDPrefix before the SHA-256 digest of its patch id. Each
	// archived change is stored under both keys.
	_numberPrefix  = "configuration-archive/"
	_patchIDPrefix = "configuration-patch/"
	// _historyLimit is the greatest number of changes that History returns.
	_historyLimit = 100
)

// errMissing says that the archive lacks an accepted change.
var errMissing = errors.New("the archive lacks the change")

func numberKey(number uint64) string { return fmt.Sprintf("%s%020d", _numberPrefix, number) }

func patchIDKey(id string) string {
	digest := sha256.Sum256([]byte(id))
	return _patchIDPrefix + hex.EncodeToString(digest[:])
}

// archiveDropped stores permanently the changes that the record holds and the next
// record does not.
func (c *Configurer) archiveDropped(ctx context.Context, record, next *wire.ConfigurationRecord) error {
	oldest := next.GetRecent()[0].GetNumber()
	for _, x := range record.GetRecent() {
		if x.GetNumber() >= oldest {
			return nil
		}
		if err := c.createArchived(ctx, numberKey(x.GetNumber()), x); err != nil {
			return err
		}
		if err := c.createArchived(ctx, patchIDKey(x.GetPatchId()), x); err != nil {
			return err
		}
	}
	return nil
}

// createArchived creates an archive object. An object that already exists under
// the key holds the same change, written by an earlier attempt or another writer.
func (c *Configurer) createArchived(ctx context.Context, key string, x *wire.ConfigurationChange) error {
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

// acceptedChange returns the change that was accepted with a patch id, nil if
// there is none.
func (c *Configurer) acceptedChange(ctx context.Context, record *wire.ConfigurationRecord, id string) (*wire.ConfigurationChange, error) {
	for _, x := range record.GetRecent() {
		if x.GetPatchId() == id {
			return x, nil
		}
	}
	if uint64(len(record.GetRecent())) == record.GetNumber() { // nothing is archived yet
		return nil, nil
	}
	return c.readArchived(ctx, patchIDKey(id))
}

// readArchived returns the change in an archive object, nil if there is none
// under the key.
func (c *Configurer) readArchived(ctx context.Context, key string) (*wire.ConfigurationChange, error) {
	o, err := c.store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("configurer: read the archive: %w", err)
	}
	var x wire.ConfigurationChange
	if err := protojson.Unmarshal(o.Value, &x); err != nil {
		return nil, fmt.Errorf("configurer: decode the archived change at %s: %w", key, err)
	}
	return &x, nil
}

// History returns up to 100 accepted changes with numbers above after, in order
// of their numbers.
func (c *Configurer) History(ctx context.Context, after uint64) ([]*wire.ConfigurationChange, error) {
	record := c.Current().Record()
	return c.changesAfter(ctx, record, after, _historyLimit)
}

// changesAfter returns at most limit changes with numbers above after, in order
// of their numbers. They come from the record or, if it no longer holds them,
// from the archive. If the archive lacks one, the error wraps errMissing.
func (c *Configurer) changesAfter(ctx context.Context, record *wire.ConfigurationRecord, after uint64, limit int) ([]*wire.ConfigurationChange, error) {
	var out []*wire.ConfigurationChange
	recent := record.GetRecent()
	for n := after + 1; n <= record.GetNumber() && len(out) < limit; n++ {
		if oldest := record.GetNumber() + 1 - uint64(len(recent)); n >= oldest {
			out = append(out, recent[n-oldest])
			continue
		}
		x, err := c.readArchived(ctx, numberKey(n))
		if err != nil {
			return out, err
		}
		if x == nil {
			return out, fmt.Errorf("configurer: read change %d: %w", n, errMissing)
		}
		out = append(out, x)
	}
	return out, nil
}
