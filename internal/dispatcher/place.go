package dispatcher

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Place is a place in a replica; Release it.
type Place struct {
	replica *wire.Replica
	long    bool
	owner   *Dispatcher
}

// Replica returns the replica. Callers must not change it.
func (p *Place) Replica() *wire.Replica { return p.replica }

// Release gives the place back. Call it or Refused, once.
func (p *Place) Release() {
	p.owner.inFlight.Add(-1)
	p.owner.tell(func() { p.owner.scheduler.Release(router.KeyOf(p.replica), p.long, time.Now()) })
}

// Refused gives the place back because the replica was full.
func (p *Place) Refused() {
	p.owner.inFlight.Add(-1)
	p.owner.tell(func() { p.owner.scheduler.Refused(router.KeyOf(p.replica), p.long, time.Now()) })
}
