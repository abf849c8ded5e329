package dispatcher

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// Slot is a slot assigned in a replica. Release it once, with Release or
// ReleaseRefused.
type Slot struct {
	id         uint64
	replica    *wire.Replica
	long       bool
	dispatcher *Dispatcher
}

// Replica returns the replica that the slot belongs to. Callers must not change
// it.
func (p *Slot) Replica() *wire.Replica { return p.replica }

// Long reports whether the response is expected to be long.
func (p *Slot) Long() bool { return p.long }

// ReportTokens records how many tokens of the response have been generated.
func (p *Slot) ReportTokens(tokens int) {
	p.dispatcher.runInLoop(func() { p.dispatcher.scheduler.ReportTokens(p.id, tokens) })
}

// Release releases the slot. tokens is the length of the complete response, or 0
// if the response is incomplete.
func (p *Slot) Release(tokens int) {
	p.dispatcher.inFlight.Add(-1)
	p.dispatcher.runInLoop(func() { p.dispatcher.scheduler.Release(p.id, tokens, time.Now()) })
}

// ReleaseRefused releases the slot because the replica refused the request as
// full and did not run it.
func (p *Slot) ReleaseRefused() {
	p.dispatcher.inFlight.Add(-1)
	p.dispatcher.runInLoop(func() { p.dispatcher.scheduler.ReleaseRefused(p.id, time.Now()) })
}
