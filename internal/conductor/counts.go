package conductor

import (
	"sync"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// counts keeps the number of orders that upstreams have accepted from this
// process, since their reports lag. The zero value is ready for use.
type counts struct {
	mu    sync.Mutex
	known map[string]count
}

type count struct {
	born   int64
	orders uint64
}

// expect returns the number of orders that an upstream with this report has
// accepted.
func (c *counts) expect(id string, r cataloguer.Report) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.known[id]
	if !ok || k.born != r.Born {
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
