package relayer

import (
	"context"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _catalogueWait is how long a request waits for the configuration and the list of
// upstreams while the process starts. A caller who is refused comes back no sooner.
const _catalogueWait = 400 * time.Millisecond

// awaitCatalogue returns the configuration. While the process starts, it waits for the
// configuration and the list of upstreams, and returns nil if the configuration does not
// come in time.
func (c *call) awaitCatalogue() *cataloguer.Configuration {
	if c.hasCatalogue() || !c.arrivedAt.Before(c.StartsUntil) {
		return c.Catalogue.Configuration()
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), _catalogueWait)
	defer cancel()
	for {
		changed := c.Catalogue.Changed()
		if c.hasCatalogue() || ctx.Err() != nil {
			return c.Catalogue.Configuration()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (c *call) hasCatalogue() bool {
	return c.Catalogue.Configuration() != nil && c.Catalogue.Fleet() != nil
}
