package configurer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// ApplyChanges applies accepted changes, in order, to the configuration in force
// and puts the result in force. It skips changes that are applied already. It
// reports whether the last change is in force afterwards; false means that the
// caller needs the whole configuration. The source goes into log lines and
// names where the changes came from.
func (c *Configurer) ApplyChanges(changes []*wire.ConfigurationChange, source string) bool {
	record := c.Current().Record()
	if record == nil {
		record = &wire.ConfigurationRecord{Document: "{}"}
	}
	start := record.GetNumber()
	for _, x := range changes {
		if x.GetNumber() <= record.GetNumber() {
			continue
		}
		next, err := applyChange(record, x)
		if err != nil {
			c.log.Failure("configuration-change-unfit", err, logger.Fields{"number": x.GetNumber(), "source": source})
			return false
		}
		record = next
	}
	if record.GetNumber() > start {
		c.ApplyRecord(record, source)
	}
	return len(changes) == 0 || c.Current().Number() >= changes[len(changes)-1].GetNumber()
}

// applyChange returns the record that results from one accepted change. It
// compares the hash of the resulting document with the one in the change, so that
// a document that differs from the accepted one is never put in force.
func applyChange(record *wire.ConfigurationRecord, x *wire.ConfigurationChange) (*wire.ConfigurationRecord, error) {
	if x.GetNumber() != record.GetNumber()+1 {
		return nil, fmt.Errorf("configurer: apply change %d to number %d: the changes between them are missing", x.GetNumber(), record.GetNumber())
	}
	merged, err := jsonpatch.MergePatch([]byte(record.GetDocument()), []byte(x.GetPatch()))
	if err != nil {
		return nil, fmt.Errorf("configurer: apply change %d: %w", x.GetNumber(), err)
	}
	if merged, err = canonicalise(merged); err != nil {
		return nil, err
	}
	if xxhash.Sum64(merged) != x.GetDocumentHash() {
		return nil, fmt.Errorf("configurer: apply change %d: the resulting document differs from the accepted one (hash mismatch)", x.GetNumber())
	}
	return nextRecord(record, x, merged), nil
}
