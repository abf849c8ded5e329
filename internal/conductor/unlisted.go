package conductor

import (
	"maps"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
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
