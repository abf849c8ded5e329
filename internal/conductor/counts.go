package conductor

import (
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// counts keeps the number of orders that upstreams have accepted from this
// process, since their reports lag. The zero value is ready for use.
type orderCounts struct {
	mu       sync.Mutex
	accepted map[string]orderCount
	// steady is since when upstreams' reports have shown the same number.
	reported map[string]reportedCount
}

type reportedCount struct {
	orderCount
	since time.Time
}

type orderCount struct {
	startedMs int64
	orders    uint64
}

// chained says that the latest order that an upstream has accepted is this
// process's own.
func (c *orderCounts) latestIsOwn(id string, r cataloguer.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.accepted[id]
	return ok && k.startedMs == r.StartedMs && k.orders >= r.Orders
}

// seen notes the number of orders in a report.
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

// steadyFor returns for how long the number of orders in a report has been seen.
func (c *orderCounts) unchangedFor(id string, r cataloguer.Report, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.reported[id]
	if !ok || s.startedMs != r.StartedMs || s.orders != r.Orders {
		return 0
	}
	return now.Sub(s.since)
}

// expect returns the number of orders that an upstream with this report has
// accepted.
func (c *orderCounts) expected(id string, r cataloguer.Report) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.accepted[id]
	if !ok || k.startedMs != r.StartedMs {
		return r.Orders
	}
	return max(k.orders, r.Orders)
}

// begun notes an order that has begun in the life that started at born.
func (c *orderCounts) recordBegun(id string, born int64, orders uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted == nil {
		c.accepted = make(map[string]orderCount)
	}
	c.accepted[id] = orderCount{startedMs: born, orders: orders}
}

// forget drops what is known of an upstream, which refused an order.
func (c *orderCounts) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.accepted, id)
}
