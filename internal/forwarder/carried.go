package forwarder

import (
	"hash/maphash"
	"slices"
)

// _maxCarried is the largest number of requests that one connection carries. It bounds
// carriedIDs to 4 KB.
const _maxCarried = 512

// _hashSeed is the seed of the hashes in carriedIDs.
var _hashSeed = maphash.MakeSeed()

// carriedIDs are the ids of the requests that a connection has carried, as hashes: a
// collision costs another connection and nothing else. The zero value is empty.
type carriedIDs struct{ hashes []uint64 }

// has reports whether a request with that id has been carried.
func (c *carriedIDs) has(id string) bool {
	return slices.Contains(c.hashes, maphash.String(_hashSeed, id))
}

// add records the id of a request that is about to be sent.
func (c *carriedIDs) add(id string) { c.hashes = append(c.hashes, maphash.String(_hashSeed, id)) }

// isFull reports whether the connection has carried _maxCarried requests.
func (c *carriedIDs) isFull() bool { return len(c.hashes) >= _maxCarried }
