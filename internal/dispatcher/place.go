package dispatcher

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Slot is a place in a replica. Give it back with Release or Refused, once.
type Slot struct {
	id      uint64
	replica *wire.Replica
	long    bool
	owner   *Dispatcher
}

// Replica returns the replica. Callers must not change it.
func (p *Slot) Replica() *wire.Replica { return p.replica }

// Long says that the answer is expected to be long.
func (p *Slot) Long() bool { return p.long }

// ReportTokens says that the answer has that many tokens by now.
func (p *Slot) ReportTokens(tokens int) {
	p.owner.tell(func() { p.owner.scheduler.ReportTokens(p.id, tokens) })
}

// Release gives the place back. Tokens is the length of the whole answer, 0
// where it is not whole.
func (p *Slot) Release(tokens int) {
	p.owner.inFlight.Add(-1)
	p.owner.tell(func() { p.owner.scheduler.Release(p.id, tokens, time.Now()) })
}

// ReleaseRefused gives the place back because the replica was full and ran nothing.
func (p *Slot) ReleaseRefused() {
	p.owner.inFlight.Add(-1)
	p.owner.tell(func() { p.owner.scheduler.ReleaseRefused(p.id, time.Now()) })
}
