package cataloguer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Catalogue holds the newest configuration and fleet that a process has read.
// The zero value is empty and ready for use. A Catalogue is safe for concurrent
// use.
type Catalogue struct {
	configuration   atomic.Pointer[Configuration]
	fleet           atomic.Pointer[Fleet]
	leading         atomic.Bool
	listUnavailable atomic.Bool
	// followsEvacuations is true if the operators' evacuations are read, and
	// evacuationsKnown once they have been.
	followsEvacuations, evacuationsKnown atomic.Bool
	// listReadAt is when the list of upstreams was last read; nil before the
	// first read.
	listReadAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	changed chan struct{}
}

// Configuration returns the newest configuration, or nil if none has been
// published.
func (c *Catalogue) Configuration() *Configuration { return c.configuration.Load() }

// Fleet returns the newest fleet, or nil if none has been published.
func (c *Catalogue) Fleet() *Fleet { return c.fleet.Load() }

// FollowEvacuations states that the evacuations of data centres are read too. Call it before
// anything is published.
func (c *Catalogue) FollowEvacuations() { c.followsEvacuations.Store(true) }

// SetEvacuationsKnown records that the evacuations of data centres have been read.
func (c *Catalogue) SetEvacuationsKnown() {
	if c.evacuationsKnown.Swap(true) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify()
}

// KnowsEvacuations reports whether the evacuations of data centres are known, or are not
// read at all.
func (c *Catalogue) KnowsEvacuations() bool {
	return !c.followsEvacuations.Load() || c.evacuationsKnown.Load()
}

// IsComplete reports whether all that requests depend on is known: the configuration, the
// fleet, and the evacuations where they are read.
func (c *Catalogue) IsComplete() bool {
	return c.Configuration() != nil && c.Fleet() != nil && c.KnowsEvacuations()
}

// SetListReadAt records that the list of upstreams was read at now.
func (c *Catalogue) SetListReadAt(now time.Time) { c.listReadAt.Store(&now) }

// ListAge returns the time since the list of upstreams was last read, or 0 if it
// has never been read.
func (c *Catalogue) ListAge(now time.Time) time.Duration {
	readAt := c.listReadAt.Load()
	if readAt == nil {
		return 0
	}
	return now.Sub(*readAt)
}

// ListUnavailable reports whether the list of upstreams can't be read at
// present, so that Fleet returns the fleet of the last successful read.
func (c *Catalogue) ListUnavailable() bool { return c.listUnavailable.Load() }

// SetListUnavailable records whether the list of upstreams can't be read.
func (c *Catalogue) SetListUnavailable(unavailable bool) { c.listUnavailable.Store(unavailable) }

// Leading reports whether this process is the leader, which decides on groups.
func (c *Catalogue) Leading() bool { return c.leading.Load() }

// SetLeading records whether this process is the leader.
func (c *Catalogue) SetLeading(leading bool) { c.leading.Store(leading) }

// Changed returns a channel that is closed when the next configuration or fleet
// is published.
func (c *Catalogue) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// SetConfiguration publishes next if its version is higher than that of the
// current configuration, and reports whether it did.
func (c *Catalogue) SetConfiguration(next *Configuration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.configuration.Load(); current != nil && current.Version >= next.Version {
		return false
	}
	c.configuration.Store(next)
	c.notify()
	return true
}

// SetFleet publishes next as the current fleet.
func (c *Catalogue) SetFleet(next *Fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.Store(next)
	c.notify()
}

// notify closes the channel that Changed returned. The caller holds c.mu.
func (c *Catalogue) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// ModelsWithoutGroup returns the number of models that no open group serves, in the
// current configuration and fleet. It is 0 while one of them is unknown.
func (c *Catalogue) ModelsWithoutGroup() int64 {
	configuration, fleet := c.Configuration(), c.Fleet()
	if configuration == nil || fleet == nil {
		return 0
	}
	n := int64(0)
	for _, s := range configuration.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			if len(fleet.OpenHeads(s.Name, m.Name)) == 0 {
				n++
			}
		}
	}
	return n
}
