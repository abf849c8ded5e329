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
func (s *Slot) Replica() *wire.Replica { return s.replica }

// Long reports whether the response is expected to be long.
func (s *Slot) Long() bool { return s.long }

// ReportTokens records how many tokens of the response have been generated.
func (s *Slot) ReportTokens(tokens int) {
	s.dispatcher.runInLoop(func() { s.dispatcher.scheduler.ReportTokens(s.id, tokens) })
}

// Release releases the slot. tokens is the length of the complete response, or 0
// if the response is incomplete.
func (s *Slot) Release(tokens int) {
	s.dispatcher.inFlight.Add(-1)
	s.dispatcher.runInLoop(func() { s.dispatcher.scheduler.Release(s.id, tokens, time.Now()) })
}

// ReleaseRefused releases the slot because the replica refused the request as
// full and did not run it.
func (s *Slot) ReleaseRefused() {
	s.dispatcher.inFlight.Add(-1)
	s.dispatcher.runInLoop(func() { s.dispatcher.scheduler.ReleaseRefused(s.id, time.Now()) })
}
