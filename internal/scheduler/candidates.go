package scheduler

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/queuer"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// candidateKey identifies requests that have the same candidates.
type candidateKey struct {
	model, organisation string
}

// candidateCache holds the candidates of one scheduling pass, so that each list
// is built only once.
type candidateCache struct {
	scheduler      *Scheduler
	listCandidates CandidateFunc
	now            time.Time
	candidates     map[candidateKey][]router.Candidate
	// blocked holds the queues whose first request found no slot. They stay
	// blocked for the rest of the pass, because a pass takes slots and frees
	// none.
	blocked map[queueKey]bool
}

// queueKey identifies a queue of interchangeable requests: if the first finds no
// slot, the later ones find none either.
type queueKey struct {
	organisation, class string
	long                bool
}

func queueKeyOf(i queuer.Item) queueKey {
	return queueKey{organisation: i.Organisation, class: i.Class, long: i.Long}
}

// get returns the candidates for a request, with the local load of this entry
// filled in.
func (c *candidateCache) get(q Request) []router.Candidate {
	key := candidateKey{model: q.Model, organisation: q.Organisation}
	if list, ok := c.candidates[key]; ok {
		return list
	}
	list := c.listCandidates(q.Model, q.Organisation)
	loads := c.scheduler.loads
	for i := range list {
		k := router.KeyOf(list[i].Replica)
		l, ok := loads[k]
		if !ok {
			continue
		}
		l.applyTo(&list[i], c.now)
		if l.isEmpty() {
			delete(loads, k)
		}
	}
	c.candidates[key] = list
	return list
}

// countSlot adds a slot assigned in this pass to the cached candidates.
func (c *candidateCache) countSlot(h *heldSlot) {
	for _, list := range c.candidates {
		for i := range list {
			if x := &list[i]; router.KeyOf(x.Replica) == h.replica {
				x.LocalLoad++
				x.LoadChange++
				if h.long {
					x.LocalLongLoad++
				}
				break
			}
		}
	}
}
