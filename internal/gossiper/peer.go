package gossiper

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// heartbeat is the changing part of a process record.
type heartbeat struct {
	sequence uint64
	// configurationNumber is the number of the process's configuration.
	configurationNumber uint64
	draining            bool
	// issuedAt is when the process issued the heartbeat.
	issuedAt time.Time
}

// entrySet is what a digest carried, or what a peer has: heartbeats by process id,
// placement revisions by placement id, and the times of leaving reports by instance.
type entrySet struct {
	processes  map[uint64]heartbeat
	placements map[uint64]uint64
	leaving    map[string]time.Time
}

// peer is the state of the exchange with one run of a peer.
type peer struct {
	// started is when the peer started, in Unix ms.
	started int64
	// serial is the serial of the last digest to the peer, and heard that of the last digest
	// from the peer.
	serial uint64
	heard  uint64
	// configurationNumber is the number of the peer's configuration. It is known once
	// contacted is true, which says that the peer has sent a digest.
	configurationNumber uint64
	contacted           bool
	// lastReceived is when the last digest of the peer arrived, or when the first one to it
	// was composed.
	lastReceived time.Time

	// has is what the peer is known to have, and pending holds the content of unconfirmed
	// digests by serial. A peer confirms a digest by sending back its serial.
	has     entrySet
	pending map[uint64]entrySet

	// sentChanges is the last configuration that the peer was sent as changes, and
	// sentWhole the last one that it was sent whole.
	sentChanges, sentWhole sentConfiguration

	// wantedProcesses, wantedPlacements and wantsConfiguration are what the peer asks
	// for.
	wantedProcesses    []uint64
	wantedPlacements   []uint64
	wantsConfiguration bool
	// unknownProcesses and unknownPlacements are ids that this process has to ask the peer
	// for.
	unknownProcesses  []uint64
	unknownPlacements []uint64
	// needsConfiguration says that the peer's changes could not be applied, so that
	// this process has to ask for the whole configuration.
	needsConfiguration bool
}

func newPeer(started int64) *peer {
	return &peer{started: started, has: newEntrySet(), pending: make(map[uint64]entrySet)}
}

func newEntrySet() entrySet {
	return entrySet{processes: make(map[uint64]heartbeat), placements: make(map[uint64]uint64), leaving: make(map[string]time.Time)}
}

// addPending keeps the content of a digest until the peer confirms the digest. Only the
// last 4 digests are kept.
func (p *peer) addPending(serial uint64, s entrySet) {
	const maxPending = 4
	p.pending[serial] = s
	if serial > maxPending {
		delete(p.pending, serial-maxPending)
	}
}

// confirm records that the digest with that serial arrived. Earlier digests that the
// peer has not confirmed count as lost, and their content is sent again.
func (p *peer) confirm(serial uint64) {
	s, ok := p.pending[serial]
	if !ok {
		return
	}
	for id, b := range s.processes {
		p.recordKnown(id, b)
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

// recordWanted records which placements the peer asks for; the peer counts as lacking them
// until it confirms the digest that carries them.
func (p *peer) recordWanted(placements []uint64) {
	p.wantedPlacements = append(p.wantedPlacements, placements...)
	for _, id := range placements {
		delete(p.has.placements, id)
	}
}

// recordKnown records that the peer has the heartbeat b of the process with that id,
// unless the peer is known to have a newer one.
func (p *peer) recordKnown(id uint64, b heartbeat) {
	if old, ok := p.has.processes[id]; !ok || b.sequence >= old.sequence {
		p.has.processes[id] = b
	}
}

// heartbeatOf returns the heartbeat part of the record r, which was issued at issuedAt.
func heartbeatOf(r *wire.ProcessRecord, issuedAt time.Time) heartbeat {
	return heartbeat{sequence: r.GetSequence(), configurationNumber: r.GetConfigurationNumber(), draining: r.GetDraining(), issuedAt: issuedAt}
}
