package gossiper

import (
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// ComposeFirst returns the first digest to a peer whose name is not known yet.
func (g *Gossiper) ComposeFirst(l LocalState) *wire.Digest {
	d := &wire.Digest{ConfigurationNumber: l.Configuration.GetNumber()}
	d.Sender = g.sender(nil)
	return d
}

// Compose returns the next digest to the peer of that name.
func (g *Gossiper) Compose(name string, l LocalState, now time.Time) *wire.Digest {
	p := g.peers[name]
	if p == nil {
		known, _ := g.table.Get(name)
		p = newPeer(known.record.GetStartedUnixMs())
		p.lastReceived = now
		g.peers[name] = p
	}
	p.serial++
	s := newEntrySet()
	d := &wire.Digest{
		Serial: p.serial, Heard: p.heard, Sender: g.sender(p), ConfigurationNumber: l.Configuration.GetNumber(),
		WantsConfiguration: p.needsConfiguration, WantedProcesses: p.unknownProcesses, WantedPlacements: p.unknownPlacements,
		Freshness: &wire.Freshness{
			ConfigurationAgeMs: readAge(l.ConfigurationRead, now), PlacementsAgeMs: readAge(l.PlacementsRead, now),
		},
	}
	p.needsConfiguration, p.unknownProcesses, p.unknownPlacements = false, nil, nil
	p.composeConfiguration(d, l.Configuration, now)
	g.composeProcesses(name, p, d, s, now)
	g.composePlacements(p, d, s, l, now)
	g.composeLeaving(p, d, s, now)
	p.addPending(p.serial, s)
	return d
}

// sender returns this process's record for a digest to p, or to a peer that is not known
// yet if p is nil. A peer that has the record is sent only its name, start, sequence and
// draining; the digest itself carries the configuration number.
func (g *Gossiper) sender(p *peer) *wire.ProcessRecord {
	s := g.self
	short := &wire.ProcessRecord{
		Name: s.GetName(), StartedUnixMs: s.GetStartedUnixMs(), Sequence: s.GetSequence(), Draining: s.GetDraining(),
	}
	if p != nil {
		if _, ok := p.has.processes[processID(s)]; ok && !slices.Contains(p.wantedProcesses, processID(s)) {
			return short
		}
	}
	short.Role, short.DataCentre, short.ConfigurationNumber = s.GetRole(), s.GetDataCentre(), s.GetConfigurationNumber()
	short.PeerAddress, short.OperatorAddress = s.GetPeerAddress(), s.GetOperatorAddress()
	return short
}

// composeProcesses adds to d the records and heartbeats of processes that the peer lacks,
// and to s what was added.
func (g *Gossiper) composeProcesses(name string, p *peer, d *wire.Digest, s entrySet, now time.Time) {
	other, _ := g.table.Get(name)
	sameDataCentre := other.record.GetDataCentre() == g.self.GetDataCentre()
	for n, x := range g.table.byName {
		if n == name {
			continue
		}
		b := heartbeatOf(x.record, x.issuedAt)
		if n == g.self.GetName() {
			s.processes[x.id] = b
			continue
		}
		had, known := p.has.processes[x.id]
		wanted := slices.Contains(p.wantedProcesses, x.id)
		if wanted && len(d.Processes) < _maxRecords || !known && now.Sub(x.firstSeen) < _wholeRecordPeriod {
			d.Processes = append(d.Processes, x.recordWithAge(now))
			s.processes[x.id] = b
			continue
		}
		if known && !shouldSend(had, b, sameDataCentre && x.record.GetDataCentre() == g.self.GetDataCentre()) {
			continue
		}
		if now.Sub(x.issuedAt) > _maxRemoteAge {
			continue
		}
		d.Beats = append(d.Beats, &wire.ProcessBeat{
			Id: x.id, Sequence: b.sequence, Behind: int64(d.ConfigurationNumber) - int64(b.configurationNumber), Draining: b.draining,
			AgeMs: millis(now.Sub(x.issuedAt)),
		})
		s.processes[x.id] = b
	}
	p.wantedProcesses = nil
}

// shouldSend reports whether to send the heartbeat b of a process to a peer whose last known
// heartbeat of that process is had. sameDataCentre says that the peer, the process and this
// process are in one data centre.
func shouldSend(had, b heartbeat, sameDataCentre bool) bool {
	if b.sequence <= had.sequence {
		return false
	}
	return sameDataCentre || b.configurationNumber != had.configurationNumber || b.draining != had.draining || b.issuedAt.Sub(had.issuedAt) >= _remoteHeartbeatInterval
}

// composePlacements adds to d the placements and marks that the peer lacks, and to s what
// was added.
func (g *Gossiper) composePlacements(p *peer, d *wire.Digest, s entrySet, l LocalState, now time.Time) {
	for key, x := range g.placements {
		had, known := p.has.placements[x.id]
		wanted := slices.Contains(p.wantedPlacements, x.id)
		if !wanted && known && had >= x.revision {
			continue
		}
		s.placements[x.id] = x.revision
		if wanted || known || now.Sub(x.changedAt) < _wholeRecordPeriod && p.contacted {
			d.Placements = append(d.Placements, l.Placements[key])
			continue
		}
		d.Marks = append(d.Marks, &wire.PlacementMark{Id: x.id, Revision: x.revision})
	}
	p.wantedPlacements = nil
}
