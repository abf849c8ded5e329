package conductor

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _censusInterval is the shortest time between two log lines on the groups of a model in
// a data centre.
const _censusInterval = time.Second

// censusKey identifies a model of a service in a data centre.
type censusKey struct{ service, dataCentre, model string }

// loggedCensus is what was last logged of a model, and when.
type loggedCensus struct {
	count grouper.ModelCount
	at    time.Time
}

// logCensus logs how many groups and spares each model has in each data centre, where that
// has changed.
func (c *Conductor) logCensus(now time.Time, service string, counts []grouper.ModelCount) {
	if c.censuses == nil {
		c.censuses = make(map[censusKey]loggedCensus)
	}
	for _, n := range counts {
		k := censusKey{service, n.DataCentre, n.Model}
		last, ok := c.censuses[k]
		if ok && (last.count == n || now.Sub(last.at) < _censusInterval) {
			continue
		}
		c.censuses[k] = loggedCensus{n, now}
		c.Log.Event("groups", logger.Fields{
			"service": service, "data_centre": n.DataCentre, "model": n.Model,
			"open": n.Open, "forming": n.Forming, "staged_spares": n.StagedSpares, "free": n.Free,
		})
	}
}
