package relayer

import (
	"context"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _catalogueWait is how long a request waits for the configuration and the list of
// upstreams while the process starts. A caller who is refused comes back no sooner.
const _catalogueWait = 400 * time.Millisecond

// awaitCatalogue returns the configuration, or nil if not all that requests depend on is
// known. While the process starts, it waits for that.
func (c *call) awaitCatalogue() *cataloguer.Configuration {
	if !c.Catalogue.IsComplete() && c.arrivedAt.Before(c.StartsUntil) {
		c.awaitComplete()
	}
	if !c.Catalogue.KnowsEvacuations() {
		return nil
	}
	return c.Catalogue.Configuration()
}

// awaitComplete waits for the catalogue to be complete, for a moment.
func (c *call) awaitComplete() {
	ctx, cancel := context.WithTimeout(c.ctx, _catalogueWait)
	defer cancel()
	for {
		changed := c.Catalogue.Changed()
		if c.Catalogue.IsComplete() || ctx.Err() != nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
