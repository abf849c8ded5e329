package conductor

import (
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// counts keeps the number of orders that upstreams have accepted from this
// process, since their reports lag. The zero value is ready for use.
type counts struct {
	mu    sync.Mutex
	known map[string]count
	// steady is since when upstreams' reports have shown the same number.
	steady map[string]steady
}

type steady struct {
	count
	since time.Time
}

type count struct {
	born   int64
	orders uint64
}

// chained says that the latest order that an upstream has accepted is this
// process's own.
func (c *counts) chained(id string, r cataloguer.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.known[id]
	return ok && k.born == r.StartedMs && k.orders >= r.Orders
}

// seen notes the number of orders in a report.
func (c *counts) seen(id string, r cataloguer.Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.steady == nil {
		c.steady = make(map[string]steady)
	}
	s, ok := c.steady[id]
	if !ok || s.born != r.StartedMs || s.orders != r.Orders {
		c.steady[id] = steady{count: count{born: r.StartedMs, orders: r.Orders}, since: now}
	}
}

// steadyFor returns for how long the number of orders in a report has been seen.
func (c *counts) steadyFor(id string, r cataloguer.Report, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.steady[id]
	if !ok || s.born != r.StartedMs || s.orders != r.Orders {
		return 0
	}
	return now.Sub(s.since)
}

// expect returns the number of orders that an upstream with this report has
// accepted.
func (c *counts) expect(id string, r cataloguer.Report) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.known[id]
	if !ok || k.born != r.StartedMs {
		return r.Orders
	}
	return max(k.orders, r.Orders)
}

// begun notes an order that has begun in the life that started at born.
func (c *counts) begun(id string, born int64, orders uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		c.known = make(map[string]count)
	}
	c.known[id] = count{born: born, orders: orders}
}

// forget drops what is known of an upstream, which refused an order.
func (c *counts) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, id)
}
