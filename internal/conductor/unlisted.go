package conductor

import (
	"context"
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// withUnlisted returns the fleet with the members of groups whose entries have
// gone from the platform's list although they still answer checks: an entry
// lapses also where its owner is cut off from the platform, and its group goes
// on.
func (c *Conductor) withUnlisted(fleet *cataloguer.Fleet, service string) *cataloguer.Fleet {
	for id, u := range c.members {
		if u.Service != service {
			continue
		}
		_, listed := fleet.Upstreams[id]
		k := c.checks[id]
		switch {
		case listed:
			if u.Unlisted {
				c.Log.Event("member-listed", logger.Fields{"upstream": id, "group": u.Group.Name, "epoch": u.Group.Epoch, "fleet_revision": fleet.Revision})
			}
			delete(c.members, id)
		case k == nil || k.failed >= _lostAfter || u.Group.Name == "":
			c.Log.Event("member-gone", logger.Fields{"upstream": id, "group": u.Group.Name, "epoch": u.Group.Epoch, "fleet_revision": fleet.Revision})
			delete(c.members, id)
		case !u.Unlisted:
			u.Unlisted = true
			c.members[id] = u
			c.Log.Event("member-unlisted", logger.Fields{"upstream": id, "group": u.Group.Name, "epoch": u.Group.Epoch, "fleet_revision": fleet.Revision, "outcome": "kept while it answers"})
		}
	}
	unlisted := maps.Clone(c.members)
	for _, u := range fleet.OfService(service) {
		if u.Group.Name != "" {
			c.members[u.ID] = u
		}
	}
	if len(unlisted) == 0 {
		return fleet
	}
	all := maps.Clone(fleet.Upstreams)
	maps.Copy(all, unlisted)
	return cataloguer.NewFleet(fleet.Revision, all)
}

// reported notes what an unlisted member says of itself.
func (c *Conductor) reported(id string, r cataloguer.Report) {
	c.latest = max(c.latest, grouper.TermOf(r.Group.Epoch))
	if c.Knowledge.Away() {
		c.reports[id] = r
	}
	u, ok := c.members[id]
	if !ok || !u.Unlisted {
		return
	}
	if r.Born != u.Born {
		delete(c.members, id)
		return
	}
	u.Group, u.Staged = r.Group, r.Staged
	c.members[id] = u
}

// mayLinger says that this process may go on to give orders although its lease
// has lapsed: the store can't be reached, so nobody else can take the lease, or,
// if only this process can't reach it, the other's orders and these can't harm a
// group. It ends once an upstream shows an order of a later term.
func (c *Conductor) mayLinger() bool {
	if !c.Knowledge.Away() || !c.Lease.Last() {
		return false
	}
	return c.latest <= c.Lease.Term()
}

// watch only checks the members of groups, to see whether another process gives
// orders.
func (c *Conductor) watch(ctx context.Context, now time.Time, configuration *cataloguer.Configuration, fleet *cataloguer.Fleet) {
	for name, s := range configuration.Services {
		if s.Engine != nil {
			c.checked(ctx, now, fleet, name)
		}
	}
}

// withReports returns the fleet with what upstreams have said themselves, while
// the platform's list can't be read.
func (c *Conductor) withReports(fleet *cataloguer.Fleet, service string) *cataloguer.Fleet {
	if !c.Knowledge.Away() {
		clear(c.reports)
		return fleet
	}
	all := maps.Clone(fleet.Upstreams)
	for id, r := range c.reports {
		u, ok := all[id]
		if !ok || u.Service != service {
			continue
		}
		if u.Born != 0 && r.Born != u.Born {
			// Its requests name the life that the list knows.
			delete(all, id)
			continue
		}
		u.Group, u.Staged = r.Group, r.Staged
		all[id] = u
	}
	return cataloguer.NewFleet(fleet.Revision, all)
}
