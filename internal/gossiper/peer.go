package gossiper

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// beat is the state of a process that a peer is known to have.
type beat struct {
	sequence uint64
	number   uint64
	draining bool
	said     time.Time
}

// sent is what one digest carried; it is known to have arrived once the peer
// names the digest's serial.
type sent struct {
	processes  map[uint64]beat
	placements map[uint64]uint64
	leaving    map[string]time.Time
}

// peer is what is known of what a peer has.
type peer struct {
	started int64
	serial  uint64
	heard   uint64
	// number is the configuration that the peer has, where contacted is true.
	number    uint64
	contacted bool
	seen      time.Time

	has     sent
	pending map[uint64]sent

	changes, whole offered

	wantedProcesses    []uint64
	wantedPlacements   []uint64
	wantsConfiguration bool
	// unknown are ids that this process has to ask the peer for.
	unknownProcesses  []uint64
	unknownPlacements []uint64
	// asks says that the peer's changes could not be applied.
	asks bool
}

func newPeer(started int64) *peer {
	return &peer{started: started, has: newSent(), pending: make(map[uint64]sent)}
}

func newSent() sent {
	return sent{processes: make(map[uint64]beat), placements: make(map[uint64]uint64), leaving: make(map[string]time.Time)}
}

// await keeps what a digest carried until the peer confirms it.
func (p *peer) await(serial uint64, s sent) {
	const most = 4
	p.pending[serial] = s
	if serial > most {
		delete(p.pending, serial-most)
	}
}

// confirm notes that the digest with that serial arrived. What earlier ones
// carried and were never confirmed is sent again.
func (p *peer) confirm(serial uint64) {
	s, ok := p.pending[serial]
	if !ok {
		return
	}
	for id, b := range s.processes {
		p.knows(id, b)
	}
	for id, r := range s.placements {
		p.has.placements[id] = max(r, p.has.placements[id])
	}
	for i, t := range s.leaving {
		p.has.leaving[i] = t
	}
	for n := range p.pending {
		if n <= serial {
			delete(p.pending, n)
		}
	}
}

// wants notes which placements the peer asks for; it lacks them until it
// confirms the digest that carries them.
func (p *peer) wants(placements []uint64) {
	p.wantedPlacements = append(p.wantedPlacements, placements...)
	for _, id := range placements {
		delete(p.has.placements, id)
	}
}

// knows notes that the peer has that word of a process.
func (p *peer) knows(id uint64, b beat) {
	if old, ok := p.has.processes[id]; !ok || b.sequence >= old.sequence {
		p.has.processes[id] = b
	}
}

func beatOf(r *wire.ProcessRecord, said time.Time) beat {
	return beat{sequence: r.GetSequence(), number: r.GetConfigurationNumber(), draining: r.GetDraining(), said: said}
}
