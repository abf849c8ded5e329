package conductor

import (
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// follow drops what only a process that gives orders knows, and follows the members of groups.
func (c *Conductor) follow(now time.Time, fleet *cataloguer.Fleet) {
	clear(c.checks)
	clear(c.reports)
	clear(c.restarts)
	clear(c.censuses)
	c.entries = nil
	if fleet != nil {
		c.followMembers(now, fleet)
	}
}

// followMembers records the members of groups that the platform's list shows, while this
// process gives no orders. It remembers those that leave the list for _absentRetention.
func (c *Conductor) followMembers(now time.Time, fleet *cataloguer.Fleet) {
	if c.following && c.followedRevision == fleet.Revision {
		return
	}
	c.following, c.followedRevision = true, fleet.Revision
	maps.DeleteFunc(c.members, func(id string, m member) bool {
		if _, listed := fleet.Upstreams[id]; listed {
			return true
		}
		return !m.leftListAt.IsZero() && now.Sub(m.leftListAt) > _absentRetention
	})
	for id, m := range c.members {
		if m.leftListAt.IsZero() {
			m.leftListAt = now
			c.members[id] = m
		}
	}
	for id, u := range fleet.Upstreams {
		if u.Group.Name != "" {
			c.members[id] = member{Upstream: u}
		}
	}
}

// recheckFollowed makes the remembered members that the list no longer shows count as
// present until they have been checked, when this process begins to give orders: an entry
// also expires if its upstream is cut off from the platform, while its group serves.
func (c *Conductor) recheckFollowed(now time.Time, fleet *cataloguer.Fleet) {
	c.following = false
	for id, m := range c.members {
		if _, listed := fleet.Upstreams[id]; listed {
			continue
		}
		if !m.leftListAt.IsZero() && now.Sub(m.leftListAt) > _absentRetention {
			delete(c.members, id)
			continue
		}
		m.Unlisted, m.rechecking, m.absentSince = true, true, time.Time{}
		c.members[id] = m
		c.checks[id] = &check{nextAt: now, failures: _failuresUntilLost, recheckSince: now, group: m.Group.Name, epoch: m.Group.Epoch}
		c.Log.Event("member-unlisted", logger.Fields{
			"upstream": id, "group": m.Group.Name, "epoch": m.Group.Epoch, "fleet_revision": fleet.Revision,
			"outcome": "checked, since this process now gives orders",
		})
	}
}
