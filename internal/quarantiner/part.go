package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
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
