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
// that it is leaving, that it wants no requests for a time, or how many it takes.
func (c *call) recordNotices(u *cataloguer.Upstream, status int, a Response) {
	now := time.Now()
	c.recordLimit(u, status, a, now)
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

// recordLimit passes on to the screener the limit that an upstream states in a response, or
// that it states none.
func (c *call) recordLimit(u *cataloguer.Upstream, status int, a Response, now time.Time) {
	if a.LimitInvalid && c.Meter != nil {
		c.Meter.CountInvalidLimit()
	}
	isFromOther := a.FaultyUpstream != "" && a.FaultyUpstream != u.ID
	if a.LimitInvalid || isFromOther {
		return
	}
	change := screener.LimitUnchanged
	switch {
	case a.LimitStated:
		change = c.Screener.RecordLimit(screener.LifeOf(u), a.Limit, now)
	case a.ID == c.request.ID && status != http.StatusMisdirectedRequest:
		change = c.Screener.RecordNoLimit(screener.LifeOf(u), c.sentAt, now)
	}
	if change == screener.LimitUnchanged {
		return
	}
	c.logLimit(change, a.Limit, logger.Fields{
		"request": c.request.ID, "upstream": u.ID, "service": u.Service, "data_centre": u.DataCentre, "source": screener.SourceResponse, "age_ms": 0,
	})
}

// logLimit logs a change of an upstream's limit.
func (s *Relayer) logLimit(change screener.LimitChange, limit float64, fields logger.Fields) {
	if change != screener.LimitEnded {
		fields["per_second"] = limit
	}
	fields["outcome"] = change
	s.Log.Event("upstream-limit", fields)
}

// receiveLimits takes what other processes saw of upstreams that state a limit.
func (s *Relayer) receiveLimits(limits map[screener.Life]screener.LimitNotice, age time.Duration, now time.Time) {
	for life, n := range limits {
		n.Age += age
		if change := s.Screener.ReceiveLimit(life, n, now); change != screener.LimitUnchanged {
			s.logLimit(change, n.Rate, logger.Fields{"upstream": life.Upstream, "source": screener.SourcePeer, "age_ms": n.Age.Milliseconds()})
		}
	}
}

// ForgetLimits removes the limits that upstreams no longer confirm.
func (s *Relayer) ForgetLimits(f *cataloguer.Fleet, now time.Time) {
	for life, age := range s.Screener.ForgetLimits(f, now) {
		s.Log.Event("upstream-limit", logger.Fields{"upstream": life.Upstream, "age_ms": age.Milliseconds(), "outcome": "lapsed"})
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
