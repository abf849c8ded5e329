package conductor

import (
	"maps"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// recordRestart records that an upstream has started again since the fleet showed it. The
// new life is a member of none of the groups of the one before. An upstream that is cut off
// from the platform can't correct its entry.
func (c *Conductor) recordRestart(u cataloguer.Upstream, r cataloguer.Report) {
	if u.StartedMs == 0 || r.StartedMs <= u.StartedMs || c.restarts[u.ID] >= r.StartedMs {
		return
	}
	c.restarts[u.ID] = r.StartedMs
	c.Log.Warn("member-restarted", logger.Fields{
		"upstream": u.ID, "group": u.Group.Name, "epoch": u.Group.Epoch, "started_ms": r.StartedMs, "listed_started_ms": u.StartedMs, "outcome": "lost to its group",
	})
}

// pruneRestarts forgets the restarts that the platform's list shows.
func (c *Conductor) pruneRestarts(fleet *cataloguer.Fleet) {
	maps.DeleteFunc(c.restarts, func(id string, startedMs int64) bool {
		u, ok := fleet.Upstreams[id]
		return !ok || u.StartedMs >= startedMs
	})
}
