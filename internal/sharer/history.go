package sharer

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/follower"
)

// _historyKept is the number of batches of changes that are kept for peers.
const _historyKept = 64

// batch is what happened after one revision, up to another.
type batch struct {
	after, to uint64
	changes   []follower.Change[[]byte]
}

// history is what this process has read of one kind itself. The zero value knows
// nothing and is ready for use.
type history struct {
	batches []batch
	// revision is how far the platform was read, and seen when.
	revision uint64
	seen     time.Time
}

// listed notes that the whole kind was read.
func (h *history) listed(revision uint64, now time.Time) {
	h.batches, h.revision, h.seen = nil, revision, now
}

// add notes what happened after one revision, up to another.
func (h *history) add(after, to uint64, changes []follower.Change[[]byte], now time.Time) {
	if after != h.revision {
		h.batches = nil
	}
	h.revision, h.seen = max(after, to), now
	if len(changes) == 0 {
		return
	}
	h.batches = append(h.batches, batch{after, to, changes})
	if len(h.batches) > _historyKept {
		h.batches = h.batches[len(h.batches)-_historyKept:]
	}
}

// since returns what happened after a revision. It is false where that is not
// known whole.
func (h *history) since(revision uint64) ([]follower.Change[[]byte], bool) {
	if revision == h.revision {
		return nil, true
	}
	if revision > h.revision || len(h.batches) == 0 || revision < h.batches[0].after {
		return nil, false
	}
	var out []follower.Change[[]byte]
	for _, b := range h.batches {
		if b.to > revision {
			// Changes that the peer has already come again, in order.
			out = append(out, b.changes...)
		}
	}
	return out, true
}

// size returns the bytes of the values of changes.
func size(changes []follower.Change[[]byte]) int {
	n := 0
	for _, c := range changes {
		n += len(c.Value)
	}
	return n
}
