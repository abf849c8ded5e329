package scheduler

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// _refusalBackoff is how long a replica that refused a request as full gets no
// requests, unless a newer load report arrives earlier.
const _refusalBackoff = 250 * time.Millisecond

// _maxReportAge is the age from which a load report of a replica is no longer used.
const _maxReportAge = time.Minute

// replicaLoad is the load that this entry puts on a replica.
type replicaLoad struct {
	// all is the number of requests in flight, long the number of long ones among
	// them.
	all, long int
	// changes lists the slots taken and released since the last load report.
	changes []loadChange
	// refused is when the replica last refused a request as full.
	refused time.Time
}

// loadChange is one increase or decrease of the load.
type loadChange struct {
	at    time.Time
	delta int
}

// applyTo sets the local fields of a candidate and drops the changes that its
// load report already includes.
func (l *replicaLoad) applyTo(c *router.Candidate, now time.Time) {
	kept := l.changes[:0]
	for _, x := range l.changes {
		if x.at.After(c.ReportedAt) {
			kept = append(kept, x)
			c.LoadChange += x.delta
		}
	}
	l.changes = kept
	c.LocalLoad, c.LocalLongLoad = l.all, l.long
	c.Refused = l.refused.After(c.ReportedAt) && now.Sub(l.refused) < _refusalBackoff
}

// isOutdated reports whether the replica has none of this entry's requests, and a load
// report that lacks the last change would be too old to be used.
func (l *replicaLoad) isOutdated(now time.Time) bool {
	if l.all > 0 || now.Sub(l.refused) < _refusalBackoff {
		return false
	}
	return len(l.changes) == 0 || now.Sub(l.changes[len(l.changes)-1].at) >= _maxReportAge
}

// isEmpty reports whether the record holds nothing and can be deleted.
func (l *replicaLoad) isEmpty() bool { return l.all == 0 && len(l.changes) == 0 && l.refused.IsZero() }
