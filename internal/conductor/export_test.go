package conductor

// OrderCountSize returns the number of upstreams whose numbers of orders are remembered.
func (c *Conductor) OrderCountSize() int {
	c.orderCounts.mu.Lock()
	defer c.orderCounts.mu.Unlock()
	return max(len(c.orderCounts.accepted), len(c.orderCounts.reported))
}
