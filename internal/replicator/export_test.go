package replicator

// UnreachableCount returns the number of addresses that are remembered as unreachable. It
// must not be called while Run runs.
func (r *Replicator) UnreachableCount() int { return len(r.unreachable) }
