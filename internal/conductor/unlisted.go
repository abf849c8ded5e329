package conductor

import (
	"context"
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _absentRetention is how long a member that is neither listed nor answers is
// remembered, in case a network partition has cut off its whole group.
const _absentRetention = 30 * time.Second

// member is a member of a group as last known.
type member struct {
	cataloguer.Upstream
	// absentSince is when the member was first found neither listed nor answering;
	// it is zero before that.
	absentSince time.Time
	// rechecking is true if the member counts as present until it has been checked
	// again, because another member of its group has returned.
	rechecking bool
	// leftListAt is when the member was first missing from the platform's list, while this
	// process gave no orders; it is zero before that.
	leftListAt time.Time
}

// withUnlisted returns the fleet together with the members of groups that are missing
// from the platform's list although they still answer checks: an entry also expires
// if its upstream is cut off from the platform, while the upstream's group continues
// to work. Members that were absent together with their whole group are included while
// they are checked again.
func (c *Conductor) withUnlisted(now time.Time, fleet *cataloguer.Fleet, service string) *cataloguer.Fleet {
	unlisted := make(map[string]cataloguer.Upstream)
	for id, m := range c.members {
		if m.Service != service {
			continue
		}
		next, kept := c.updateMember(now, fleet, m)
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

// updateMember returns the new state of a member that was listed before, and whether
// to keep that state. A member that is listed again or gone needs none.
func (c *Conductor) updateMember(now time.Time, fleet *cataloguer.Fleet, m member) (next member, kept bool) {
	k := c.checks[m.ID]
	lost := k == nil || k.failures >= _failuresUntilLost && k.recheckSince.IsZero()
	_, listed := fleet.Upstreams[m.ID]
	event, outcome := "", ""
	switch {
	case listed:
		if m.Unlisted {
			event = "member-listed"
		}
	case m.Group.Name == "", m.rechecking && lost, !m.absentSince.IsZero() && now.Sub(m.absentSince) > _absentRetention:
		event, outcome = "member-gone", "forgotten"
	case m.rechecking:
		m.rechecking = k.failures >= _failuresUntilLost
		kept = true
	case !m.absentSince.IsZero():
		kept = true
		if c.otherMemberReturned(fleet, m) {
			event, outcome = "member-awaited", "checked again"
			m.absentSince, m.rechecking = time.Time{}, true
			c.checks[m.ID] = &check{nextAt: now, failures: _failuresUntilLost, recheckSince: now, group: m.Group.Name, epoch: m.Group.Epoch}
		}
	case lost && (k == nil || !c.isGroupUnreachable(k)):
		event, outcome = "member-gone", "forgotten"
	case lost:
		event, outcome = "member-gone", "remembered, since no member of its group answers"
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

// otherMemberReturned reports whether another member of an absent member's group is
// listed again, and has answered since the absence began or has not been checked yet.
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

// isGroupUnreachable reports whether no other member of a lost member's group has
// answered since the lost one stopped answering, and at least one other member does
// not answer either.
func (c *Conductor) isGroupUnreachable(lost *check) bool {
	others := false
	for _, k := range c.checks {
		if k == lost || k.group != lost.group || k.epoch != lost.epoch {
			continue
		}
		if k.answeredAt.After(lost.failingSince) {
			return false
		}
		others = others || k.failures > 0
	}
	for _, m := range c.members {
		others = others || !m.absentSince.IsZero() && m.Group.Name == lost.group && m.Group.Epoch == lost.epoch
	}
	return others
}

// recordReport records an upstream's report: the term of its group, the report itself
// while the platform's list is stale, and the new state of an unlisted member.
func (c *Conductor) recordReport(now time.Time, id string, r cataloguer.Report) {
	c.observeEpoch(id, r.Group.Epoch)
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

// mayKeepLeading reports whether this process may continue to give orders although
// its lease has expired, because it can't reach the store. Either no process can reach
// the store, so none can take the lease, or another process has taken it without this one
// knowing. The orders of both can't make a group serve that lacks a member, but they undo
// each other's groups. mayKeepLeading returns false once an upstream shows an order of a
// later term, or another process tells of one.
func (c *Conductor) mayKeepLeading() bool {
	if !c.Catalogue.ListUnavailable() || !c.Lease.WasLastHolder() {
		return false
	}
	return max(c.latestTerm, c.peerTerm.Load()) <= c.Lease.Term()
}

// watchMembers checks the members of all groups without giving orders, to see whether
// another process gives orders.
func (c *Conductor) watchMembers(ctx context.Context, now time.Time, configuration *cataloguer.Configuration, fleet *cataloguer.Fleet) {
	for name, s := range configuration.Services {
		if s.Engine != nil {
			c.checkFleet(ctx, now, fleet, name)
		}
	}
}

// isListStale reports whether the platform's list can't be read, or could not be read
// less than _listSettleTime ago, so that it may show upstreams as they were earlier.
func (c *Conductor) isListStale(now time.Time) bool {
	return !c.listUnavailableAt.IsZero() && now.Sub(c.listUnavailableAt) < _listSettleTime
}

// withReports returns the fleet with the group and the staged models that each
// upstream has reported itself, while the platform's list is stale.
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
			// The upstream has restarted since the list was read, and requests to it
			// would carry the start time in the list.
			delete(all, id)
			continue
		}
		u.Group, u.StagedModels = r.Group, r.StagedModels
		all[id] = u
	}
	return cataloguer.NewFleet(fleet.Revision, all)
}
