package relayer

import (
	"math"
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// admit decides whether the request may use the slots of its model's groups. If
// not, it responds with a refusal and returns false. Otherwise done must be called
// when the request ends.
func (c *call) admit() (done func(), ok bool) {
	now := time.Now()
	value, ok := c.models.Load(c.modelKey())
	if !ok {
		value, _ = c.models.LoadOrStore(c.modelKey(), newModelState())
	}
	m := value.(*modelState)
	m.countArrival(c.priorityClass, now)
	c.model, c.admitter = m, &m.admitter
	c.returning = c.attempts.IsReturning(c.route.Name, now, c.timeout())
	ended := func() { m.recordEnd(c.priorityClass, now, time.Now()) }
	c.capacity = c.modelCapacity()
	if c.capacity.Slots == 0 {
		// Without an open group there are no slots to share. acquireUpstream then finds
		// no upstream and returns the reason for the refusal.
		return ended, true
	}
	d := c.decide(now)
	if d.Admitted {
		if c.returning {
			c.countedReturning.Store(true)
			m.returning.Add(1)
		}
		return func() {
			c.endReturningWait()
			c.admitter.Done()
			ended()
		}, true
	}
	c.logRefused(now, d)
	c.refuse(http.StatusServiceUnavailable, "crowded")
	return nil, false
}

// logRefused logs a request that was not admitted, with the values that decided it.
func (c *call) logRefused(now time.Time, d admitter.Decision) {
	fields := logger.Fields{
		"request": c.request.ID, "model": c.request.Model, "in_flight": d.InFlight, "limit": d.Limit, "slots": c.capacity.Slots,
		"part": c.capacity.CallerShare, "returning": d.Returning, "priority": c.priorityClass, "outcome": "refused",
	}
	if totalLoad := c.freshTotalLoad(now); totalLoad != nil {
		fields["served_part"], fields["offered"] = d.ServedFraction, d.TotalLoad.Offered
		fields["admitted_part"], fields["all_in_flight"], fields["all_returning"] = d.AdmittedFraction, d.TotalLoad.InFlight, d.TotalLoad.Returning
		fields["asked"], fields["ended"], fields["mean_duration_ms"] = d.TotalLoad.ArrivalRate, d.TotalLoad.CompletionRate, d.TotalLoad.MeanDuration.Milliseconds()
		fields["processes"], fields["crowd_age_ms"] = totalLoad.Processes, now.Sub(totalLoad.At).Milliseconds()
	}
	c.Log.Event("admit", fields)
}

// decide admits the request or not: by the load of all processes, or where that is
// not known, by the limit of this process.
func (c *call) decide(now time.Time) admitter.Decision {
	totalLoad := c.freshTotalLoad(now)
	if totalLoad == nil {
		return c.admitter.Admit(c.capacity, c.timeout(), c.route.Timeout)
	}
	selection, slots := c.selection(now)
	usable, inFlight := c.Balancer.Usable(selection.Serving, now)
	bounded, boundedInFlight := c.Balancer.Usable(selection.Bounded, now)
	demand := totalLoad.Demand[c.modelKey()]
	// The total load includes the returning requests that this process counted at the
	// last exchange. The current count replaces that count.
	returning := max(demand.Returning-totalLoad.OwnLoad.Demand[c.modelKey()].Returning, 0) + int(c.model.returning.Load())
	meanDuration := time.Duration(c.model.meanDuration.Load())
	total := usable*slots + boundedSlots(selection, bounded, slots, meanDuration)
	return c.admitter.AdmitByTotalLoad(admitter.Capacity{Slots: total}, admitter.TotalLoad{
		InFlight: float64(inFlight + boundedInFlight - returning), Returning: float64(returning), ArrivalRate: demand.ArrivalRate, CompletionRate: demand.CompletionRate,
		MeanDuration: meanDuration, Offered: demand.Offered,
	}, c.priorityClass, c.returning)
}

// boundedSlots returns how many slots of the cold and limited upstreams are in use at most,
// by the rates at which requests come, if count of them are usable.
func boundedSlots(s screener.Selection, count, slots int, meanDuration time.Duration) int {
	if meanDuration <= 0 {
		return count * slots
	}
	sum := 0.0
	for _, rate := range s.Rates {
		sum += min(float64(slots), rate*meanDuration.Seconds())
	}
	return int(math.Ceil(sum * float64(count) / float64(max(len(s.Rates), 1))))
}

// endReturningWait records that a returning request no longer waits for its first event.
func (c *call) endReturningWait() {
	if c.countedReturning.Swap(false) {
		c.model.returning.Add(-1)
	}
}

// sendPriority returns the priority of the next send at its upstream. resent is true if the
// request was sent before or resumes a stream. What runs already goes first, then the most
// urgent requests of the model, then less urgent ones, and then those that return.
func (c *call) sendPriority(resent bool) int {
	priority := _priorityUsual
	switch {
	case resent:
		return _priorityResumed
	case c.returning:
		priority = _priorityReturning
	}
	if c.isLessUrgent(time.Now()) {
		priority++
	}
	return priority
}

// isLessUrgent reports whether callers ask for the request's model with a higher priority.
func (c *call) isLessUrgent(now time.Time) bool {
	totalLoad := c.freshTotalLoad(now)
	return totalLoad != nil && totalLoad.Demand[c.modelKey()].Offered.HasMoreUrgent(c.priorityClass)
}

// modelCapacity returns the slots of the open groups of the request's model, and the
// fraction of the callers that this process serves.
func (c *call) modelCapacity() admitter.Capacity {
	capacity := admitter.Capacity{CallerShare: 1}
	if c.CallerShare != nil {
		capacity.CallerShare = c.CallerShare()
	}
	if c.Catalogue.Fleet() != nil && c.service.Engine != nil {
		selection, slots := c.selection(time.Now())
		capacity.Slots = (len(selection.Serving) + len(selection.Bounded)) * slots
	}
	return capacity
}
