package gossiper

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _heartbeatInterval is how often a process increments the sequence of its record and
	// so issues a heartbeat.
	_heartbeatInterval = 5 * time.Second
	// _remoteHeartbeatInterval is how often a heartbeat that changes nothing but the
	// sequence is sent to another data centre, or sent about a process of another one.
	_remoteHeartbeatInterval = time.Minute
	// _wholeRecordPeriod is how long a new process or placement is sent whole; later, a
	// peer that lacks it has to ask for it.
	_wholeRecordPeriod = 20 * time.Second
	// _leavingLifetime is how long a report that an instance is leaving is valid unless it
	// is repeated.
	_leavingLifetime = 15 * time.Second
	// _leavingInterval is how often such a report is repeated to a peer.
	_leavingInterval = 5 * time.Second
	// _peerLifetime is how long the state of a peer is kept after its last digest.
	_peerLifetime = 2 * time.Minute
	// _maxRecords bounds the number of whole records that one digest carries because the
	// peer asked for them.
	_maxRecords = 256
)

// LocalState is the process's own state at one moment.
type LocalState struct {
	// Configuration is nil until the process has one.
	Configuration *wire.ConfigurationRecord
	// Placements holds the known placements by key.
	Placements map[string]*wire.Placement
	Draining   bool
	// ConfigurationRead and PlacementsRead are when any process last read the
	// configuration and the placements from the platform; zero means never.
	ConfigurationRead time.Time
	PlacementsRead    time.Time
}

// ReceivedState is the part of a peer's digest that the process's other services apply.
type ReceivedState struct {
	// ConfigurationNumber is the number of the peer's configuration.
	ConfigurationNumber uint64
	Configuration       *wire.ConfigurationRecord
	Changes             []*wire.ConfigurationChange
	Placements          []*wire.Placement
	ConfigurationRead   time.Time
	PlacementsRead      time.Time
	// PlacementsComplete says that Placements holds every placement of which the peer has
	// a newer revision.
	PlacementsComplete bool
	// NotifyPeers says that what arrived should be sent to other peers at once.
	NotifyPeers bool
}

// placementVersion is the id and the revision of a placement, and when this process first
// had that revision.
type placementVersion struct {
	id        uint64
	revision  uint64
	changedAt time.Time
}

// Gossiper composes the digests for peers and merges those that it receives. Make it
// with New. It is not safe for concurrent use.
type Gossiper struct {
	self          *wire.ProcessRecord
	table         Table
	peers         map[string]*peer
	placements    map[string]placementVersion
	leaving       map[string]*leavingReport
	active        activePeers
	random        *rand.Rand
	lastHeartbeat time.Time
}

// New returns the Gossiper of the process that self describes. seed seeds the random
// choice of peers.
func New(self *wire.ProcessRecord, seed uint64, now time.Time) *Gossiper {
	g := &Gossiper{
		self: proto.CloneOf(self), table: Table{dataCentre: self.GetDataCentre()}, peers: make(map[string]*peer),
		placements: make(map[string]placementVersion), leaving: make(map[string]*leavingReport),
		random: rand.New(rand.NewPCG(seed, 1)), lastHeartbeat: now,
	}
	g.self.Sequence = 1
	g.table.Merge(proto.CloneOf(g.self), now)
	return g
}

// Table returns the table of processes, which includes this process.
func (g *Gossiper) Table() *Table { return &g.table }

// Self returns a copy of this process's record.
func (g *Gossiper) Self() *wire.ProcessRecord { return proto.CloneOf(g.self) }

// AddUnverified adds a record of unknown age. Its process counts as live just long
// enough to be asked once.
func (g *Gossiper) AddUnverified(r *wire.ProcessRecord, now time.Time) {
	const grace = 5 * time.Second
	if r.GetName() == g.self.GetName() {
		return
	}
	r = proto.CloneOf(r)
	r.AgeMs = millis(_maxRemoteAge - grace)
	if r.GetDataCentre() == g.self.GetDataCentre() {
		r.AgeMs = millis(_maxLocalAge - grace)
	}
	g.table.Merge(r, now)
}

// Update records this process's state; call it before a digest is composed. It reports
// whether the state should be sent to peers at once.
func (g *Gossiper) Update(l LocalState, now time.Time) bool {
	notify := g.self.GetConfigurationNumber() != l.Configuration.GetNumber() || g.self.GetDraining() != l.Draining
	if notify || now.Sub(g.lastHeartbeat) >= _heartbeatInterval {
		g.lastHeartbeat = now
		g.self.Sequence++
		g.self.ConfigurationNumber, g.self.Draining = l.Configuration.GetNumber(), l.Draining
		g.table.Merge(proto.CloneOf(g.self), now)
	}
	for key, x := range l.Placements {
		p, ok := g.placements[key]
		if ok && p.revision >= x.GetRevision() {
			continue
		}
		notify = true
		g.placements[key] = placementVersion{id: xxhash.Sum64String(key), revision: x.GetRevision(), changedAt: now}
	}
	return notify
}

// RemoveExpired removes processes, peers and leaving reports that were not renewed for
// too long.
func (g *Gossiper) RemoveExpired(now time.Time) {
	g.table.Expire(now)
	for name, p := range g.peers {
		if now.Sub(p.lastReceived) > _peerLifetime {
			delete(g.peers, name)
		}
	}
	for name, e := range g.leaving {
		if now.Sub(e.issuedAt) > _leavingLifetime {
			delete(g.leaving, name)
		}
	}
}

// Receive merges a digest, and returns what the other services have to apply. The sender
// may be a peer that was known only by its address until now.
func (g *Gossiper) Receive(d *wire.Digest, l LocalState, now time.Time) ReceivedState {
	name := d.GetSender().GetName()
	p := g.peers[name]
	if p == nil || p.started != d.GetSender().GetStartedUnixMs() {
		p = newPeer(d.GetSender().GetStartedUnixMs())
		g.peers[name] = p
	}
	p.lastReceived, p.heard = now, d.GetSerial()
	p.confirm(d.GetHeard())
	p.configurationNumber, p.contacted = d.GetConfigurationNumber(), true
	p.wantsConfiguration = d.GetWantsConfiguration()
	p.wantedProcesses = append(p.wantedProcesses, d.GetWantedProcesses()...)
	p.recordWanted(d.GetWantedPlacements())
	in := ReceivedState{
		ConfigurationNumber: d.GetConfigurationNumber(), Configuration: d.GetConfiguration(), Changes: d.GetChanges(), Placements: d.GetPlacements(),
	}
	if f := d.GetFreshness(); f != nil {
		in.ConfigurationRead, in.PlacementsRead = readAt(f.GetConfigurationAgeMs(), now), readAt(f.GetPlacementsAgeMs(), now)
	}
	g.receiveProcesses(p, d, now)
	g.receivePlacements(p, d, l)
	in.PlacementsComplete = len(p.unknownPlacements) == 0
	in.NotifyPeers = g.receiveLeaving(p, d, now)
	return in
}

// receiveProcesses merges the records and heartbeats of a digest. The sender's record
// counts as a heartbeat where it has no peer address, since it is then the short form.
func (g *Gossiper) receiveProcesses(p *peer, d *wire.Digest, now time.Time) {
	sender := d.GetSender()
	if sender.GetPeerAddress() != "" {
		g.mergeRecord(p, sender, now)
	} else {
		g.mergeHeartbeat(p, &wire.ProcessBeat{
			Id: processID(sender), Sequence: sender.GetSequence(), Draining: sender.GetDraining(),
		}, d.GetConfigurationNumber(), now)
	}
	for _, r := range d.GetProcesses() {
		g.mergeRecord(p, r, now)
	}
	for _, b := range d.GetBeats() {
		g.mergeHeartbeat(p, b, d.GetConfigurationNumber(), now)
	}
}

// mergeRecord merges a whole record that peer p sent.
func (g *Gossiper) mergeRecord(p *peer, r *wire.ProcessRecord, now time.Time) {
	p.recordKnown(processID(r), heartbeatOf(r, now.Add(-age(r.GetAgeMs()))))
	if r.GetName() != g.self.GetName() {
		g.table.Merge(r, now)
	}
}

// mergeHeartbeat merges a heartbeat that peer p sent in a digest whose configuration
// number is number. If the process is unknown, the next digest to p asks for its record.
func (g *Gossiper) mergeHeartbeat(p *peer, b *wire.ProcessBeat, number uint64, now time.Time) {
	p.recordKnown(b.GetId(), heartbeat{
		sequence: b.GetSequence(), configurationNumber: uint64(int64(number) - b.GetBehind()), draining: b.GetDraining(),
		issuedAt: now.Add(-age(b.GetAgeMs())),
	})
	if b.GetId() == processID(g.self) {
		return
	}
	if !g.table.MergeHeartbeat(b, number, now) {
		p.unknownProcesses = append(p.unknownProcesses, b.GetId())
	}
}

// receivePlacements records which placements the peer has. The next digest to p asks for
// the placements whose marks show a newer revision than this process has.
func (g *Gossiper) receivePlacements(p *peer, d *wire.Digest, l LocalState) {
	for _, x := range d.GetPlacements() {
		p.has.placements[xxhash.Sum64String(placementKey(x))] = x.GetRevision()
	}
	if len(d.GetMarks()) == 0 {
		return
	}
	own := make(map[uint64]uint64, len(l.Placements))
	for key, x := range l.Placements {
		own[xxhash.Sum64String(key)] = x.GetRevision()
	}
	for _, m := range d.GetMarks() {
		p.has.placements[m.GetId()] = m.GetRevision()
		if own[m.GetId()] < m.GetRevision() {
			p.unknownPlacements = append(p.unknownPlacements, m.GetId())
		}
	}
}

// RequestConfiguration makes the next digest to the peer of that name ask for the whole
// configuration. Call it when the peer's changes could not be applied.
func (g *Gossiper) RequestConfiguration(name string) {
	if p := g.peers[name]; p != nil {
		p.needsConfiguration = true
	}
}

// NeedsExchange reports whether another exchange with the peer of that name is due at
// once: the peer lacks something, or this process has to ask it for something.
func (g *Gossiper) NeedsExchange(name string, l LocalState, now time.Time) bool {
	p := g.peers[name]
	if p == nil {
		return false
	}
	mustAsk := p.needsConfiguration || len(p.unknownProcesses) > 0 || len(p.unknownPlacements) > 0
	changes, whole := p.missingConfiguration(l.Configuration, now)
	return mustAsk || changes != nil || whole || len(p.wantedProcesses) > 0 || len(p.wantedPlacements) > 0
}

// placementKey returns the key of a placement; its hash is the placement's id in
// digests.
func placementKey(x *wire.Placement) string {
	return "placement/" + x.GetDataCentre() + "/" + x.GetDomain()
}

// readAt returns the time of a read from its age in ms plus 1; age 0 means never and gives
// the zero time.
func readAt(ageMS uint64, now time.Time) time.Time {
	if ageMS == 0 {
		return time.Time{}
	}
	return now.Add(-age(ageMS - 1))
}

// readAge returns the age of a read at the time at, in ms plus 1; the zero time means never
// and gives 0.
func readAge(at, now time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return millis(now.Sub(at)) + 1
}
