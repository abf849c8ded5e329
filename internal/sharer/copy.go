package sharer

import (
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
)

// objectCopy holds the objects of one kind as of a revision, as the platform encodes
// them. The zero value holds nothing yet.
type objectCopy struct {
	// values is nil until all objects are known.
	values   map[string][]byte
	revision uint64
	// asOf is when the platform had this revision as its latest.
	asOf time.Time
}

// reset replaces the objects by those of a listing.
func (c *objectCopy) reset(l reflector.Listing[[]byte], asOf time.Time) {
	c.values, c.revision, c.asOf = maps.Clone(l.Values), l.Revision, asOf
}

// apply applies the changes after revision after, up to and including revision to. A
// change that does not follow on leaves the copy empty.
func (c *objectCopy) apply(after, to uint64, changes []reflector.Change[[]byte], asOf time.Time) {
	if c.values == nil || after != c.revision {
		*c = objectCopy{}
		return
	}
	for _, x := range changes {
		if x.Deleted {
			delete(c.values, x.Name)
			continue
		}
		c.values[x.Name] = x.Value
	}
	c.revision, c.asOf = max(after, to), asOf
}

// confirm records that there was no change up to and including a revision at a time.
func (c *objectCopy) confirm(revision uint64, at time.Time) {
	if c.values != nil && revision == c.revision && at.After(c.asOf) {
		c.asOf = at
	}
}

// listing returns all objects; false if they are not known, or only as of a time that is
// more than maxAge ago.
func (c *objectCopy) listing(now time.Time, maxAge time.Duration) (reflector.Listing[[]byte], bool) {
	if c.values == nil || now.Sub(c.asOf) > maxAge {
		return reflector.Listing[[]byte]{}, false
	}
	return reflector.Listing[[]byte]{Values: c.values, Revision: c.revision}, true
}
