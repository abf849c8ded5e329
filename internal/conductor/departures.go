package conductor

import (
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// evacuated returns the evacuated data centres, whose upstreams get neither checks nor
// orders.
func (c *Conductor) evacuated() map[string]bool {
	if c.Screener == nil {
		return nil
	}
	return c.Screener.Evacuated()
}

// withDepartures returns the fleet in which the upstreams that announced in a response that
// they are leaving are draining, although the platform's list may not show it yet.
func (c *Conductor) withDepartures(fleet *cataloguer.Fleet) *cataloguer.Fleet {
	if c.Screener == nil || !c.Screener.HasDepartures() {
		return fleet
	}
	var all map[string]cataloguer.Upstream
	for id, u := range fleet.Upstreams {
		if u.Draining || !c.Screener.IsLeaving(&u) {
			continue
		}
		if all == nil {
			all = maps.Clone(fleet.Upstreams)
		}
		u.Draining = true
		all[id] = u
	}
	if all == nil {
		return fleet
	}
	return cataloguer.NewFleet(fleet.Revision, all)
}

// recordLeaving records that an upstream says in a report that it is leaving.
func (c *Conductor) recordLeaving(u cataloguer.Upstream, r cataloguer.Report, now time.Time) {
	if c.Screener == nil || !r.Leaving || !c.Screener.RecordLeaving(screener.LifeOf(&u), screener.SourceResponse, now) {
		return
	}
	c.Log.Event("upstream-leaving", logger.Fields{
		"upstream": u.ID, "service": u.Service, "data_centre": u.DataCentre, "source": screener.SourceResponse, "age_ms": 0, "outcome": "no new requests",
	})
}
