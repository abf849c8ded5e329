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
	// readAt is when the changes were read.
	readAt time.Time
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
	h.batches = append(h.batches, batch{after: after, to: to, changes: changes, readAt: now})
	if len(h.batches) > _maxBatches {
		h.batches = h.batches[len(h.batches)-_maxBatches:]
		h.since = h.batches[0].after
	}
}

// confirm records that there was no change up to and including a revision at a time.
func (h *history) confirm(revision uint64, at time.Time) {
	if revision == h.revision && at.After(h.readAt) {
		h.readAt = at
	}
}

// changesSince returns the last change of each object after revision, with the revision up
// to which they are complete and when that was read. Where they are more than maxBytes, the
// changes of later batches are left out. The result is false where changes are not in the
// history, or those of the first batch alone are more than maxBytes.
func (h *history) changesSince(revision uint64, maxBytes int) (batch, bool) {
	if revision > h.revision || revision < min(h.since, h.revision) {
		return batch{}, false
	}
	part := batch{after: revision, to: revision}
	for _, b := range h.batches {
		if b.to <= revision {
			continue
		}
		// A batch may repeat changes that the peer already has; applying them again in
		// order does no harm.
		changes := latestOnly(append(part.changes, b.changes...))
		if valueBytes(changes) > maxBytes {
			return part, part.to > revision
		}
		part.changes, part.to, part.readAt = changes, b.to, b.readAt
	}
	part.to, part.readAt = h.revision, h.readAt
	return part, true
}

// valueBytes returns the total size of the values of changes, in bytes.
func valueBytes(changes []reflector.Change[[]byte]) int {
	n := 0
	for _, c := range changes {
		n += len(c.Value)
	}
	return n
}

// latestOnly returns the last change of each object, in the order of changes.
func latestOnly(changes []reflector.Change[[]byte]) []reflector.Change[[]byte] {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Name] = i
	}
	out := make([]reflector.Change[[]byte], 0, len(last))
	for i, c := range changes {
		if last[c.Name] == i {
			out = append(out, c)
		}
	}
	return out
}
