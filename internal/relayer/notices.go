package relayer

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// recordNotices passes on to the screener what an upstream says of itself in a response:
// that it is leaving, or that it wants no requests for a time.
func (c *call) recordNotices(u *cataloguer.Upstream, status int, a Response) {
	now := time.Now()
	if a.Leaving && c.Screener.RecordLeaving(screener.LifeOf(u), screener.SourceResponse, now) {
		c.Log.Event("upstream-leaving", logger.Fields{
			"request": c.request.ID, "upstream": u.ID, "service": u.Service, "data_centre": u.DataCentre, "source": screener.SourceResponse, "age_ms": 0,
			"outcome": "no new requests",
		})
	}
	if status != http.StatusServiceUnavailable {
		return
	}
	if a.WaitInvalid && c.Meter != nil {
		c.Meter.CountInvalidWait()
	}
	if a.Wait > 0 {
		d := c.Screener.RecordWait(u, a.Wait, rand.Float64(), now)
		c.Log.Event("upstream-waits", logger.Fields{
			"request": c.request.ID, "upstream": u.ID, "service": u.Service, "source": screener.SourceResponse, "age_ms": 0,
			"asked_ms": a.Wait.Milliseconds(), "until_ms": d.Milliseconds(), "outcome": "no requests of this process",
		})
	}
}

// receiveDepartures takes the departures that other processes saw.
func (s *Relayer) receiveDepartures(departures map[screener.Life]bool, age time.Duration, now time.Time) {
	for life := range departures {
		if !s.Screener.RecordLeaving(life, screener.SourcePeer, now) {
			continue
		}
		s.Log.Event("upstream-leaving", logger.Fields{
			"upstream": life.Upstream, "source": screener.SourcePeer, "age_ms": age.Milliseconds(), "outcome": "no new requests",
		})
	}
}
