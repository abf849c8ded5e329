package conductor

import (
	"maps"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// orderCounts holds how many orders each upstream has accepted, as the upstream
// reports it and as this process knows it from its own orders, which reports show only
// later. It is safe for concurrent use, and its zero value is ready for use.
type orderCounts struct {
	mu sync.Mutex
	// accepted holds each upstream's number of orders after the latest order of this
	// process, by id.
	accepted map[string]orderCount
	// reported holds the number of orders that each upstream reports, by id.
	reported map[string]reportedCount
}

// reportedCount is a number of orders and since when reports have shown it.
type reportedCount struct {
	orderCount
	since time.Time
}

// orderCount is the number of orders that an upstream has accepted since it last
// started.
type orderCount struct {
	startedMs int64 // as in cataloguer.Report
	orders    uint64
}

// latestIsOwn reports whether the latest order that an upstream has accepted is an
// order of this process.
func (c *orderCounts) latestIsOwn(id string, r cataloguer.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.accepted[id]
	return ok && k.startedMs == r.StartedMs && k.orders >= r.Orders
}

// observe records the number of orders in a report.
func (c *orderCounts) observe(id string, r cataloguer.Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reported == nil {
		c.reported = make(map[string]reportedCount)
	}
	s, ok := c.reported[id]
	if !ok || s.startedMs != r.StartedMs || s.orders != r.Orders {
		c.reported[id] = reportedCount{orderCount: orderCount{startedMs: r.StartedMs, orders: r.Orders}, since: now}
	}
}

// unchangedFor returns for how long the upstream's reports have shown the number of
// orders in r, or 0 if the last report observed shows another number.
func (c *orderCounts) unchangedFor(id string, r cataloguer.Report, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.reported[id]
	if !ok || s.startedMs != r.StartedMs || s.orders != r.Orders {
		return 0
	}
	return now.Sub(s.since)
}

// expected returns the number of orders that an upstream with the report r has
// accepted, including orders of this process that the report does not show yet.
func (c *orderCounts) expected(id string, r cataloguer.Report) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.accepted[id]
	if !ok || k.startedMs != r.StartedMs {
		return r.Orders
	}
	return max(k.orders, r.Orders)
}

// recordBegun records the number of orders that an upstream has accepted, now that an
// order of this process has begun. startedMs is when the upstream last started.
func (c *orderCounts) recordBegun(id string, startedMs int64, orders uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted == nil {
		c.accepted = make(map[string]orderCount)
	}
	c.accepted[id] = orderCount{startedMs: startedMs, orders: orders}
}

// keepOnly removes the numbers of the upstreams for which known returns false.
func (c *orderCounts) keepOnly(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.accepted, func(id string, _ orderCount) bool { return !known(id) })
	maps.DeleteFunc(c.reported, func(id string, _ reportedCount) bool { return !known(id) })
}

// forget removes the number of accepted orders of an upstream that refused an order,
// since the number may be wrong.
func (c *orderCounts) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.accepted, id)
}

// pruneCounts removes now and then the numbers of upstreams that are gone.
func (c *Conductor) pruneCounts(now time.Time, fleet *cataloguer.Fleet) {
	if now.Sub(c.countsPrunedAt) < _pruneInterval {
		return
	}
	c.countsPrunedAt = now
	c.orderCounts.keepOnly(func(id string) bool {
		_, listed := fleet.Upstreams[id]
		_, member := c.members[id]
		return listed || member
	})
}
