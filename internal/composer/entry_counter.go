package composer

import (
	"context"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/dispatcher"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
)

const (
	// _countInterval is the time between two counts of the entries.
	_countInterval = time.Second
	// _maxRecordAge is the age at which a process's record no longer counts as live.
	_maxRecordAge = 10 * time.Second
)

// countEntries counts the entries that share the replicas, including this one, and
// passes the number to the dispatcher, until ctx ends. It skips entries that drain, and
// those whose record is old, since they can't be reached.
func countEntries(ctx context.Context, self string, r *replicator.Replicator, d *dispatcher.Dispatcher) {
	ticker := time.NewTicker(_countInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		count := 1
		for _, p := range r.Processes(ctx) {
			live := p.GetAgeMs() < uint64(_maxRecordAge.Milliseconds()) && !p.GetDraining()
			if p.GetName() != self && p.GetRole() == string(loader.RoleEntry) && live {
				count++
			}
		}
		d.SetEntries(count)
	}
}
