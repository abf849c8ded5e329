package scheduler

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// _refusalHold is how long a replica that refused work as full gets none where
// no newer load report comes.
const _refusalHold = 250 * time.Millisecond

// used is the work that this entry has in a replica.
type used struct {
	all, long int
	// changes are the places given out and back since the last load report.
	changes []change
	// refused is when the replica last said that it was full.
	refused time.Time
}

// change is one step of a replica's count.
type change struct {
	at time.Time
	by int
}

// fill puts what this entry knows into a candidate.
func (u *used) fill(c *router.Candidate, now time.Time) {
	kept := u.changes[:0]
	for _, x := range u.changes {
		if x.at.After(c.ReportedAt) {
			kept = append(kept, x)
			c.LoadChange += x.by
		}
	}
	u.changes = kept
	c.LocalLoad, c.LocalLongLoad = u.all, u.long
	c.Refused = u.refused.After(c.ReportedAt) && now.Sub(u.refused) < _refusalHold
}

// idle says that nothing has to be remembered.
func (u *used) idle() bool { return u.all == 0 && len(u.changes) == 0 && u.refused.IsZero() }
