package dispatcher

import "github.com/lycheebarrow/lycheebarrow/internal/wire"

// Place is a place in a replica; Release it.
type Place struct {
	replica *wire.Replica
	long    bool
	owner   *Dispatcher
}

// Replica returns the replica. Callers must not change it.
func (p *Place) Replica() *wire.Replica { return p.replica }

// Release gives the place back. Call it once.
func (p *Place) Release() {
	p.owner.tell(func() { p.owner.scheduler.Release(p.replica.GetName(), p.long) })
}
