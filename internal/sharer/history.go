package sharer

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
)

// _maxBatches is the number of batches of changes that are kept for peers.
const _maxBatches = 64

// batch holds the changes after revision after, up to and including revision to.
type batch struct {
	after, to uint64
	changes   []reflector.Change[[]byte]
}

// history holds the recent changes of objects of one kind that this process has read
// from the platform itself. The zero value is empty and ready for use.
type history struct {
	batches []batch
	// since is the revision after which no change is missing.
	since uint64
	// revision is the revision up to which the platform was read, and readAt is when.
	revision uint64
	readAt   time.Time
}

// reset starts the history anew after all objects of the kind were read at revision.
func (h *history) reset(revision uint64, now time.Time) {
	h.batches, h.since, h.revision, h.readAt = nil, revision, revision, now
}

// add records the changes after revision after, up to and including revision to.
func (h *history) add(after, to uint64, changes []reflector.Change[[]byte], now time.Time) {
	if after != h.revision {
		h.batches, h.since = nil, after
	}
	h.revision, h.readAt = max(after, to), now
	if len(changes) == 0 {
		return
	}
	h.batches = append(h.batches, batch{after, to, changes})
	if len(h.batches) > _maxBatches {
		h.batches = h.batches[len(h.batches)-_maxBatches:]
		h.since = h.batches[0].after
	}
}

// changesSince returns the changes after revision; false where some of them are not in
// the history.
func (h *history) changesSince(revision uint64) ([]reflector.Change[[]byte], bool) {
	if revision == h.revision {
		return nil, true
	}
	if revision > h.revision || revision < h.since {
		return nil, false
	}
	var out []reflector.Change[[]byte]
	for _, b := range h.batches {
		if b.to > revision {
			// A batch may repeat changes that the peer already has; applying them again in
			// order does no harm.
			out = append(out, b.changes...)
		}
	}
	return out, true
}

// valueBytes returns the total size of the values of changes, in bytes.
func valueBytes(changes []reflector.Change[[]byte]) int {
	n := 0
	for _, c := range changes {
		n += len(c.Value)
	}
	return n
}
