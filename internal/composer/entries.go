package composer

import (
	"context"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/dispatcher"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
)

const (
	// _entryInterval is the time between two counts of the entries.
	_entryInterval = time.Second
	// _entryAge is the age of a process's word past which it doesn't count.
	_entryAge = 10 * time.Second
)

// countEntries tells the dispatcher how many entries share the replicas, itself
// included, until ctx ends. Entries that can't be reached don't count.
func countEntries(ctx context.Context, self string, r *replicator.Replicator, d *dispatcher.Dispatcher) {
	ticker := time.NewTicker(_entryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		count := 1
		for _, x := range r.Processes(ctx) {
			live := x.GetAgeMs() < uint64(_entryAge.Milliseconds()) && !x.GetDraining()
			if x.GetName() != self && x.GetRole() == string(loader.RoleEntry) && live {
				count++
			}
		}
		d.SetEntries(count)
	}
}
