package relayer

import (
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// enter asks for the request to be let in among those that share the places of
// its model's groups. Where it is not, the request was answered; otherwise the
// caller calls the function returned at the end.
func (c *call) enter() (leave func(), ok bool) {
	now := time.Now()
	x, ok := c.gates.Load(c.place())
	if !ok {
		x, _ = c.gates.LoadOrStore(c.place(), newGate())
	}
	g := x.(*gate)
	g.asked.count(now)
	c.gate, c.admitter = g, &g.admitter
	c.returning = g.returning(c.time())
	ended := func() { g.over(now, time.Now()) }
	c.places = c.count()
	if c.places.Slots == 0 {
		// Without a group there is nothing to share; the choice says so.
		return ended, true
	}
	d := c.decide(now)
	if d.Admitted {
		if c.returning {
			c.waits.Store(true)
			g.late.Add(1)
		}
		return func() {
			c.waitOver()
			c.admitter.Done()
			ended()
		}, true
	}
	c.logRefused(now, d)
	c.refuse(http.StatusServiceUnavailable, "crowded")
	return nil, false
}

// logRefused writes what decided that a request is not let in.
func (c *call) logRefused(now time.Time, d admitter.Decision) {
	fields := logger.Fields{
		"request": c.request.ID, "model": c.request.Model, "in_flight": d.InFlight, "limit": d.Limit, "slots": c.places.Slots,
		"part": c.places.Part, "returning": d.Returning, "outcome": "refused",
	}
	if crowd := c.crowdNow(now); crowd != nil {
		fields["admitted_part"], fields["all_in_flight"], fields["all_late"] = d.Part, d.Crowd.InFlight, d.Crowd.Late
		fields["asked"], fields["ended"], fields["spent_ms"] = d.Crowd.Asked, d.Crowd.Ended, d.Crowd.Spent.Milliseconds()
		fields["processes"], fields["crowd_age_ms"] = crowd.Processes, now.Sub(crowd.At).Milliseconds()
	}
	c.Log.Event("admit", fields)
}

// decide lets the request in or not: by what all processes have under way, or where
// that is not known, by what this one has.
func (c *call) decide(now time.Time) admitter.Decision {
	crowd := c.crowdNow(now)
	if crowd == nil {
		return c.admitter.Admit(c.places, c.time(), c.route.Timeout)
	}
	candidates, slots := c.candidates()
	usable, inFlight := c.Balancer.Usable(candidates, now)
	demand := crowd.Demand[c.place()]
	late := max(demand.Retrying-crowd.OwnLoad.Demand[c.place()].Retrying, 0) + int(c.gate.late.Load())
	return c.admitter.AdmitPart(admitter.Places{Slots: usable * slots}, admitter.Crowd{
		InFlight: float64(inFlight - late), Late: float64(late), Asked: demand.ArrivalRate, Ended: demand.CompletionRate,
		Spent: time.Duration(c.gate.spent.Load()),
	}, c.returning)
}

// waitOver notes that a request that came back waits no longer.
func (c *call) waitOver() {
	if c.waits.Swap(false) {
		c.gate.late.Add(-1)
	}
}

// rank returns the rank of the next send among others at its upstream.
func (c *call) rank(resumed bool) int {
	switch {
	case resumed:
		return _rankResumed
	case c.returning:
		return _rankLate
	default:
		return _rankUsual
	}
}

// count returns the places of the groups of the request's model.
func (c *call) count() admitter.Places {
	p := admitter.Places{Part: 1}
	if c.Part != nil {
		p.Part = c.Part()
	}
	if f := c.Knowledge.Fleet(); f != nil && c.service.Engine != nil {
		p.Slots = len(f.OpenHeads(c.service.Name, c.request.Model)) * c.service.Engine.Slots
	}
	return p
}
