package balancer

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _silentUntilCutOff is the number of silent candidates from which a data centre whose
// processes don't answer counts as cut off. Both signs together tell a network partition
// from processes that restart and from groups that are lost.
const _silentUntilCutOff = 2

// SetUnanswered sets the data centres of which no process answers this data centre's.
func (b *Balancer) SetUnanswered(dataCentres []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unanswered = nil
	for _, d := range dataCentres {
		if b.unanswered == nil {
			b.unanswered = make(map[string]bool)
		}
		b.unanswered[d] = true
	}
}

// cutOffDataCentres returns the data centres that are cut off from this one. Without it,
// each upstream there would be tried before it counts as silent, at the cost of a
// request each. The caller holds the lock.
func (b *Balancer) cutOffDataCentres(candidates []cataloguer.Upstream, now time.Time) map[string]bool {
	if len(b.unanswered) == 0 {
		return nil
	}
	silent := make(map[string]int)
	for i := range candidates {
		u := &candidates[i]
		if b.unanswered[u.DataCentre] && b.stateOf(u.ID).isSilent(u, now) {
			silent[u.DataCentre]++
		}
	}
	out := make(map[string]bool)
	for d, n := range silent {
		out[d] = n >= _silentUntilCutOff
	}
	return out
}
