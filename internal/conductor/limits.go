package conductor

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// recordLimit records that an upstream states in a report how many requests it takes. That
// a report states none means nothing: upstreams need to say so only in responses to callers.
func (c *Conductor) recordLimit(u cataloguer.Upstream, r cataloguer.Report, now time.Time) {
	isOfOtherLife := r.StartedMs != 0 && r.StartedMs != u.StartedMs
	if c.Screener == nil || !r.LimitStated || isOfOtherLife {
		return
	}
	change := c.Screener.RecordLimit(screener.LifeOf(&u), r.Limit, now)
	if change == screener.LimitUnchanged {
		return
	}
	c.Log.Event("upstream-limit", logger.Fields{
		"upstream": u.ID, "service": u.Service, "data_centre": u.DataCentre, "source": screener.SourceResponse, "age_ms": 0, "per_second": r.Limit, "outcome": change,
	})
}
