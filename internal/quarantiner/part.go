package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
)

// Part identifies a part of the prompts of a service that several requests may share. It is
// a hash, so that each part takes the same memory, however long its id is.
type Part uint64

// NewPart returns the part of the service's prompts with the given id.
func NewPart(service, id string) Part {
	sum := sha256.Sum256([]byte(service + "\x00" + id))
	return Part(binary.BigEndian.Uint64(sum[:]))
}

// String returns the hash in hexadecimal digits.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// _partBytes is the size of a part in a Combination, in bytes.
const _partBytes = 8

// Combination is a set of parts that a prompt may have together. It holds the parts in
// ascending order, as big-endian numbers.
type Combination string

// NewCombination returns the combination of the given parts.
func NewCombination(parts ...Part) Combination {
	parts = slices.Clone(parts)
	slices.Sort(parts)
	b := make([]byte, 0, len(parts)*_partBytes)
	for _, p := range slices.Compact(parts) {
		b = binary.BigEndian.AppendUint64(b, uint64(p))
	}
	return Combination(b)
}

// Parts returns the parts in ascending order.
func (c Combination) Parts() []Part {
	out := make([]Part, 0, len(c)/_partBytes)
	for b := []byte(c); len(b) >= _partBytes; b = b[_partBytes:] {
		out = append(out, Part(binary.BigEndian.Uint64(b)))
	}
	return out
}

// String returns the hashes of the parts, separated by commas.
func (c Combination) String() string {
	var out []string
	for _, p := range c.Parts() {
		out = append(out, p.String())
	}
	return strings.Join(out, ",")
}

// isIn reports whether all parts of the combination are among the given ones.
func (c Combination) isIn(parts []Part) bool {
	return !slices.ContainsFunc(c.Parts(), func(p Part) bool { return !slices.Contains(parts, p) })
}

// isWithin reports whether all parts of the combination are in the other one.
func (c Combination) isWithin(other Combination) bool {
	for ; len(c) > 0 && len(other) >= len(c); other = other[_partBytes:] {
		if c[:_partBytes] == other[:_partBytes] {
			c = c[_partBytes:]
		}
	}
	return len(c) == 0
}
