package conductor

import (
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _entrySettleTime is how long the platform's list must have shown an upstream's group
// unchanged before a report of another group counts as later than the list: reports lag
// behind the upstream, and the list may lag less.
const _entrySettleTime = 1500 * time.Millisecond

// entry is what the platform's list shows of an upstream's group. The entry of an upstream
// that is cut off from the platform stays as it was until it expires.
type entry struct {
	group cataloguer.Membership
	since time.Time
	// report is the upstream's latest one, if it shows another group and is later than the
	// entry.
	report *cataloguer.Report
}

// observeEntries records what a new list shows.
func (c *Conductor) observeEntries(now time.Time, fleet *cataloguer.Fleet) {
	if c.entries != nil && c.entriesRevision == fleet.Revision {
		return
	}
	next := make(map[string]entry, len(fleet.Upstreams))
	for id, u := range fleet.Upstreams {
		if u.Domain == "" {
			continue
		}
		e, ok := c.entries[id]
		if !ok || e.group != u.Group {
			e = entry{group: u.Group, since: now}
		}
		next[id] = e
	}
	c.entries, c.entriesRevision = next, fleet.Revision
}

// recordGroup records the group in an upstream's report, which was asked for at askedAt.
func (c *Conductor) recordGroup(askedAt time.Time, u cataloguer.Upstream, r cataloguer.Report) {
	e, ok := c.entries[u.ID]
	if !ok {
		return
	}
	isOther := r.Group.Name != e.group.Name || r.Group.Epoch != e.group.Epoch
	e.report = nil
	if isOther && r.StartedMs == u.StartedMs && askedAt.Sub(e.since) >= _entrySettleTime {
		e.report = &r
	}
	c.entries[u.ID] = e
}

// isOutdated reports whether an upstream has reported another group than its entry shows.
func (c *Conductor) isOutdated(id string) bool { return c.entries[id].report != nil }

// withLaterReports returns the fleet with the group and the staged models that each upstream
// has reported since the platform's list last showed it.
func (c *Conductor) withLaterReports(fleet *cataloguer.Fleet) *cataloguer.Fleet {
	var all map[string]cataloguer.Upstream
	for id, e := range c.entries {
		if e.report == nil {
			continue
		}
		u, ok := fleet.Upstreams[id]
		if !ok {
			continue
		}
		if all == nil {
			all = maps.Clone(fleet.Upstreams)
		}
		u.Group, u.StagedModels, u.Outdated = e.report.Group, e.report.StagedModels, true
		all[id] = u
	}
	if all == nil {
		return fleet
	}
	return cataloguer.NewFleet(fleet.Revision, all)
}
