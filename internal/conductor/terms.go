package conductor

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _maxTermsAhead is by how much a term that an upstream shows may lie above the latest that is
// known. A store that comes back from a copy has lost some seconds; more is an error of the
// upstream, and would use up the terms.
const _maxTermsAhead = 1000

// observeEpoch records the term of a group's epoch that an upstream shows. Where it is later than
// that of the lease, the store has come back from an older copy, or another process holds it.
func (c *Conductor) observeEpoch(upstream string, epoch uint64) {
	term := grouper.TermOf(epoch)
	if term <= c.latestTerm {
		return
	}
	known := c.Lease.LatestTerm()
	if term > known+_maxTermsAhead {
		c.Log.Warn("term-ignored", logger.Fields{"upstream": upstream, "epoch": epoch, "term": term, "known": known})
		return
	}
	c.latestTerm = term
	c.Lease.ObserveTerm(term)
}

// observeTerms records the terms that a new list shows.
func (c *Conductor) observeTerms(fleet *cataloguer.Fleet) {
	if fleet.Revision == c.observedRevision || c.Lease.LatestTerm() == 0 {
		return
	}
	c.observedRevision = fleet.Revision
	for _, u := range fleet.Upstreams {
		c.observeEpoch(u.ID, u.Group.Epoch)
	}
}

// recordFenced records that an upstream refused an order of a term because of its fencing token.
// Orders wait until the lease is renewed; if another one is refused then, no other process holds
// the lease, and the upstream has seen a term that the store has lost.
func (c *Conductor) recordFenced(now, sentAt time.Time, upstream string, term uint64, err error) {
	outcome := "no orders until the lease is renewed"
	if term == c.fencedTerm && sentAt.After(c.fencedAt) {
		outcome = "the lease is taken under a later term"
		c.Lease.ObserveTerm(term + 1)
	}
	c.fencedAt, c.fencedTerm = now, term
	c.Log.Failure("fenced", err, logger.Fields{"upstream": upstream, "term": term, "outcome": outcome})
}

// isFenced reports whether an upstream has refused an order because of its fencing token
// and the lease has not been renewed since. Another process may hold it then.
func (c *Conductor) isFenced() bool {
	return !c.fencedAt.IsZero() && !c.Lease.RenewedAt().After(c.fencedAt)
}
