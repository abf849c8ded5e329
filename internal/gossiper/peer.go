package gossiper

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// heartbeat is the changing part of a process record.
type heartbeat struct {
	sequence uint64
	// number is the number of the configuration that the process has.
	number   uint64
	draining bool
	// issuedAt is when the process issued it.
	issuedAt time.Time
}

// sent is what one digest carried: heartbeats by process id, placement revisions by
// placement id, and the times of leaving reports by instance. The digest has arrived once
// the peer names its serial.
type sent struct {
	processes  map[uint64]heartbeat
	placements map[uint64]uint64
	leaving    map[string]time.Time
}

// peer is the state of the exchange with one run of a peer.
type peer struct {
	// started is when the peer started, in Unix ms.
	started int64
	// serial is the serial of the last digest to the peer, and heard that of the last one
	// from it.
	serial uint64
	heard  uint64
	// number is the number of the configuration that the peer has; known once contacted
	// is true, when the peer has sent a digest.
	number    uint64
	contacted bool
	// lastReceived is when the last digest of the peer arrived, or when the first one to it
	// was composed.
	lastReceived time.Time

	// has is what the peer is known to have, and pending holds what digests that it has
	// not confirmed carried, by serial.
	has     sent
	pending map[uint64]sent

	// changes and whole are the last configuration that the peer was sent, as changes and
	// whole.
	changes, whole sentConfiguration

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
	return &peer{started: started, has: newSent(), pending: make(map[uint64]sent)}
}

func newSent() sent {
	return sent{processes: make(map[uint64]heartbeat), placements: make(map[uint64]uint64), leaving: make(map[string]time.Time)}
}

// addPending keeps what a digest carried until the peer confirms it. Only the last 4
// digests are kept.
func (p *peer) addPending(serial uint64, s sent) {
	const maxPending = 4
	p.pending[serial] = s
	if serial > maxPending {
		delete(p.pending, serial-maxPending)
	}
}

// confirm records that the digest with that serial arrived. Earlier digests that the
// peer has not confirmed count as lost, and what they carried is sent again.
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

// heartbeatOf returns the heartbeat that the record r, issued at issuedAt, stands for.
func heartbeatOf(r *wire.ProcessRecord, issuedAt time.Time) heartbeat {
	return heartbeat{sequence: r.GetSequence(), number: r.GetConfigurationNumber(), draining: r.GetDraining(), issuedAt: issuedAt}
}
