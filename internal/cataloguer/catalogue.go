package cataloguer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Catalogue holds the newest configuration and fleet that a process knows. The
// zero value knows nothing and is ready for use. It is safe for concurrent use.
type Catalogue struct {
	configuration atomic.Pointer[Configuration]
	fleet         atomic.Pointer[Fleet]
	leading       atomic.Bool
	away          atomic.Bool
	// seen is when the list of upstreams was last read.
	seen atomic.Pointer[time.Time]

	mu      sync.Mutex
	changed chan struct{}
}

// Configuration returns the newest configuration, or nil.
func (c *Catalogue) Configuration() *Configuration { return c.configuration.Load() }

// Fleet returns the newest fleet, or nil.
func (c *Catalogue) Fleet() *Fleet { return c.fleet.Load() }

// SetListReadAt notes that the list of upstreams was read.
func (c *Catalogue) SetListReadAt(now time.Time) { c.seen.Store(&now) }

// ListAge returns the time since the list of upstreams was read, or 0 where it never
// was.
func (c *Catalogue) ListAge(now time.Time) time.Duration {
	seen := c.seen.Load()
	if seen == nil {
		return 0
	}
	return now.Sub(*seen)
}

// ListUnavailable says that the list of upstreams can't be read, so that the fleet is as it
// was.
func (c *Catalogue) ListUnavailable() bool { return c.away.Load() }

// SetListUnavailable notes whether the list of upstreams can be read.
func (c *Catalogue) SetListUnavailable(away bool) { c.away.Store(away) }

// Leading says that this process decides on groups.
func (c *Catalogue) Leading() bool { return c.leading.Load() }

// SetLeading notes whether this process decides on groups.
func (c *Catalogue) SetLeading(leading bool) { c.leading.Store(leading) }

// Changed is closed at the next change.
func (c *Catalogue) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// SetConfiguration publishes a configuration if it is newer than the one in
// force, and says whether it is.
func (c *Catalogue) SetConfiguration(next *Configuration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.configuration.Load(); now != nil && now.Version >= next.Version {
		return false
	}
	c.configuration.Store(next)
	c.notify()
	return true
}

// SetFleet publishes a fleet.
func (c *Catalogue) SetFleet(next *Fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.Store(next)
	c.notify()
}

func (c *Catalogue) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
