package conductor

import (
	"context"
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _partedKept is how long a member that is neither listed nor answers is
// remembered, in case a cut keeps its whole group away.
const _absentRetention = 30 * time.Second

// member is a member of a group as it was last known.
type member struct {
	cataloguer.Upstream
	// parted is when it was first neither listed nor answering; zero before.
	absentSince time.Time
	// awaited says that it counts as a member again until it has been asked, since
	// another one of its group is back.
	rechecking bool
}

// withUnlisted returns the fleet with the members of groups whose entries have
// gone from the platform's list although they still answer checks: an entry
// lapses also where its owner is cut off from the platform, and its group goes
// on. Those that were away together with their whole group are in it while they
// are asked again.
func (c *Conductor) withUnlisted(now time.Time, fleet *cataloguer.Fleet, service string) *cataloguer.Fleet {
	unlisted := make(map[string]cataloguer.Upstream)
	for id, m := range c.members {
		if m.Service != service {
			continue
		}
		next, kept := c.reviewMember(now, fleet, m)
		if !kept {
			delete(c.members, id)
			continue
		}
		c.members[id] = next
		if next.absentSince.IsZero() {
			unlisted[id] = next.Upstream
		}
	}
	for _, u := range fleet.OfService(service) {
		if u.Group.Name != "" {
			c.members[u.ID] = member{Upstream: u}
		}
	}
	if len(unlisted) == 0 {
		return fleet
	}
	all := maps.Clone(fleet.Upstreams)
	maps.Copy(all, unlisted)
	return cataloguer.NewFleet(fleet.Revision, all)
}

// review returns what becomes of a member that was listed before, and false where
// it needs no more care: it is listed again, or gone.
func (c *Conductor) reviewMember(now time.Time, fleet *cataloguer.Fleet, m member) (next member, kept bool) {
	k := c.checks[m.ID]
	silent := k == nil || k.failures >= _failuresUntilLost && k.recheckSince.IsZero()
	_, listed := fleet.Upstreams[m.ID]
	event, outcome := "", ""
	switch {
	case listed:
		if m.Unlisted {
			event = "member-listed"
		}
	case m.Group.Name == "", m.rechecking && silent, !m.absentSince.IsZero() && now.Sub(m.absentSince) > _absentRetention:
		event, outcome = "member-gone", "forgotten"
	case m.rechecking:
		m.rechecking = k.failures >= _failuresUntilLost
		kept = true
	case !m.absentSince.IsZero():
		kept = true
		if c.otherMemberReturned(fleet, m) {
			event, outcome = "member-awaited", "asked again"
			m.absentSince, m.rechecking = time.Time{}, true
			c.checks[m.ID] = &check{nextAt: now, failures: _failuresUntilLost, recheckSince: now, group: m.Group.Name, epoch: m.Group.Epoch}
		}
	case silent && (k == nil || !c.isGroupSilent(k)):
		event, outcome = "member-gone", "forgotten"
	case silent:
		event, outcome = "member-gone", "remembered, since its whole group is silent"
		m.absentSince, m.Unlisted = now, true
		kept = true
	default:
		kept = true
		if !m.Unlisted {
			event, outcome = "member-unlisted", "kept while it answers"
			m.Unlisted = true
		}
	}
	if event != "" {
		c.Log.Event(event, logger.Fields{
			"upstream": m.ID, "group": m.Group.Name, "epoch": m.Group.Epoch, "fleet_revision": fleet.Revision, "outcome": outcome,
		})
	}
	return m, kept
}

// mateBack says that another member of a group that was away is listed again.
func (c *Conductor) otherMemberReturned(fleet *cataloguer.Fleet, m member) bool {
	for _, u := range fleet.OfService(m.Service) {
		if u.Group.Name != m.Group.Name || u.Group.Epoch != m.Group.Epoch {
			continue
		}
		if k := c.checks[u.ID]; k == nil || k.answeredAt.After(m.absentSince) {
			return true
		}
	}
	return false
}

// groupSilent says that no other member of a group has answered since this one
// fell silent, and that another one is silent too.
func (c *Conductor) isGroupSilent(silent *check) bool {
	others := false
	for _, k := range c.checks {
		if k == silent || k.group != silent.group || k.epoch != silent.epoch {
			continue
		}
		if k.answeredAt.After(silent.silentSince) {
			return false
		}
		others = others || k.failures > 0
	}
	for _, m := range c.members {
		others = others || !m.absentSince.IsZero() && m.Group.Name == silent.group && m.Group.Epoch == silent.epoch
	}
	return others
}

// reported notes what an unlisted member says of itself.
func (c *Conductor) recordReport(now time.Time, id string, r cataloguer.Report) {
	c.latestTerm = max(c.latestTerm, grouper.TermOf(r.Group.Epoch))
	if c.isListStale(now) {
		c.reports[id] = r
	}
	m, ok := c.members[id]
	if !ok || !m.Unlisted {
		return
	}
	if r.StartedMs != m.StartedMs {
		delete(c.members, id)
		return
	}
	m.Group, m.StagedModels = r.Group, r.StagedModels
	c.members[id] = m
}

// mayLinger says that this process may go on to give orders although its lease
// has lapsed: the store can't be reached, so nobody else can take the lease, or,
// if only this process can't reach it, the other's orders and these can't harm a
// group. It ends once an upstream shows an order of a later term.
func (c *Conductor) mayKeepLeading() bool {
	if !c.Catalogue.ListUnavailable() || !c.Lease.WasLastHolder() {
		return false
	}
	return c.latestTerm <= c.Lease.Term()
}

// watch only checks the members of groups, to see whether another process gives
// orders.
func (c *Conductor) watchMembers(ctx context.Context, now time.Time, configuration *cataloguer.Configuration, fleet *cataloguer.Fleet) {
	for name, s := range configuration.Services {
		if s.Engine != nil {
			c.checkedFleet(ctx, now, fleet, name)
		}
	}
}

// listOld says that the platform's list can't be read, or could not be until a
// moment ago, so that it may show upstreams as they were before.
func (c *Conductor) isListStale(now time.Time) bool {
	return !c.listUnavailableAt.IsZero() && now.Sub(c.listUnavailableAt) < _listSettleTime
}

// withReports returns the fleet with what upstreams have said themselves, while
// the platform's list is old.
func (c *Conductor) withReports(now time.Time, fleet *cataloguer.Fleet, service string) *cataloguer.Fleet {
	if !c.isListStale(now) {
		clear(c.reports)
		return fleet
	}
	all := maps.Clone(fleet.Upstreams)
	for id, r := range c.reports {
		u, ok := all[id]
		if !ok || u.Service != service {
			continue
		}
		if u.StartedMs != 0 && r.StartedMs != u.StartedMs {
			// Its requests name the life that the list knows.
			delete(all, id)
			continue
		}
		u.Group, u.StagedModels = r.Group, r.StagedModels
		all[id] = u
	}
	return cataloguer.NewFleet(fleet.Revision, all)
}
