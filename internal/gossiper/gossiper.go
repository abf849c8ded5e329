package gossiper

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _beatInterval is how often a process raises its sequence.
	_beatInterval = 5 * time.Second
	// _remoteInterval is how often the unchanged word of a process is passed
	// between data centres, or about another data centre.
	_remoteInterval = time.Minute
	// _introduction is how long a process goes out whole after it was first
	// heard of; later, a peer that misses it has to ask.
	_introduction = 20 * time.Second
	// _leavingLimit is how long the word that an instance leaves holds without
	// being repeated.
	_leavingLimit = 15 * time.Second
	// _leavingInterval is how often that word is repeated to a peer.
	_leavingInterval = 5 * time.Second
	// _forgetPeer is how long what a silent peer has is remembered.
	_forgetPeer = 2 * time.Minute
	// _maxRecords bounds the whole records in one digest.
	_maxRecords = 256
)

// LocalState is the process's own state at one moment.
type LocalState struct {
	// Configuration is nil before the first.
	Configuration *wire.ConfigurationRecord
	// Placements are by key.
	Placements map[string]*wire.Placement
	Draining   bool
	// ConfigurationRead and PlacementsRead are when the platform was last read,
	// by whichever process; zero means never.
	ConfigurationRead time.Time
	PlacementsRead    time.Time
}

// ReceivedState is what a peer's digest brought for the process's other services.
type ReceivedState struct {
	// Number is the peer's configuration number.
	Number            uint64
	Configuration     *wire.ConfigurationRecord
	Changes           []*wire.ConfigurationChange
	Placements        []*wire.Placement
	ConfigurationRead time.Time
	PlacementsRead    time.Time
	// PlacementsComplete says that the peer has no newer placement that it did not
	// bring.
	PlacementsComplete bool
	// NotifyPeers says that other peers should hear at once of what arrived.
	NotifyPeers bool
}

// placement is what is known of one placement key.
type placement struct {
	id       uint64
	revision uint64
	changed  time.Time
}

// Gossiper composes and takes in digests. Make it with New. It is not safe for
// concurrent use.
type Gossiper struct {
	self       *wire.ProcessRecord
	table      Table
	peers      map[string]*peer
	placements map[string]placement
	leaving    map[string]*leaving
	active     active
	random     *rand.Rand
	beaten     time.Time
}

// New returns the Gossiper of the process that self describes. The seed chooses
// its random peers.
func New(self *wire.ProcessRecord, seed uint64, now time.Time) *Gossiper {
	g := &Gossiper{
		self: proto.CloneOf(self), table: Table{dataCentre: self.GetDataCentre()}, peers: make(map[string]*peer),
		placements: make(map[string]placement), leaving: make(map[string]*leaving),
		random: rand.New(rand.NewPCG(seed, 1)), beaten: now,
	}
	g.self.Sequence = 1
	g.table.Merge(proto.CloneOf(g.self), now)
	return g
}

// Table returns the table of processes, the own one included.
func (g *Gossiper) Table() *Table { return &g.table }

// Self returns a copy of the process's own record.
func (g *Gossiper) Self() *wire.ProcessRecord { return proto.CloneOf(g.self) }

// AddUnverified takes a record of unknown age. The process counts as live just long
// enough to be asked once.
func (g *Gossiper) AddUnverified(r *wire.ProcessRecord, now time.Time) {
	const grace = 5 * time.Second
	if r.GetName() == g.self.GetName() {
		return
	}
	r = proto.CloneOf(r)
	r.AgeMs = millis(_remoteLimit - grace)
	if r.GetDataCentre() == g.self.GetDataCentre() {
		r.AgeMs = millis(_localLimit - grace)
	}
	g.table.Merge(r, now)
}

// Update notes the process's own state before a digest is composed. It reports
// whether peers should hear of it at once.
func (g *Gossiper) Update(l LocalState, now time.Time) bool {
	news := g.self.GetConfigurationNumber() != l.Configuration.GetNumber() || g.self.GetDraining() != l.Draining
	if news || now.Sub(g.beaten) >= _beatInterval {
		g.beaten = now
		g.self.Sequence++
		g.self.ConfigurationNumber, g.self.Draining = l.Configuration.GetNumber(), l.Draining
		g.table.Merge(proto.CloneOf(g.self), now)
	}
	for key, x := range l.Placements {
		p, ok := g.placements[key]
		if ok && p.revision >= x.GetRevision() {
			continue
		}
		news = true
		g.placements[key] = placement{id: xxhash.Sum64String(key), revision: x.GetRevision(), changed: now}
	}
	return news
}

// RemoveExpired forgets silent processes and peers.
func (g *Gossiper) RemoveExpired(now time.Time) {
	g.table.Expire(now)
	for name, p := range g.peers {
		if now.Sub(p.seen) > _forgetPeer {
			delete(g.peers, name)
		}
	}
	for name, e := range g.leaving {
		if now.Sub(e.said) > _leavingLimit {
			delete(g.leaving, name)
		}
	}
}

// Receive takes in a digest. An answer whose peer was not known by name is
// taken in like any other.
func (g *Gossiper) Receive(d *wire.Digest, l LocalState, now time.Time) ReceivedState {
	name := d.GetSender().GetName()
	p := g.peers[name]
	if p == nil || p.started != d.GetSender().GetStartedUnixMs() {
		p = newPeer(d.GetSender().GetStartedUnixMs())
		g.peers[name] = p
	}
	p.seen, p.heard = now, d.GetSerial()
	p.confirm(d.GetHeard())
	p.number, p.contacted = d.GetConfigurationNumber(), true
	p.wantsConfiguration = d.GetWantsConfiguration()
	p.wantedProcesses = append(p.wantedProcesses, d.GetWantedProcesses()...)
	p.wants(d.GetWantedPlacements())
	in := ReceivedState{
		Number: d.GetConfigurationNumber(), Configuration: d.GetConfiguration(), Changes: d.GetChanges(), Placements: d.GetPlacements(),
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

func (g *Gossiper) receiveProcesses(p *peer, d *wire.Digest, now time.Time) {
	sender := d.GetSender()
	if sender.GetPeerAddress() != "" {
		g.mergeFrom(p, sender, now)
	} else {
		g.beatFrom(p, &wire.ProcessBeat{
			Id: identify(sender), Sequence: sender.GetSequence(), Draining: sender.GetDraining(),
		}, d.GetConfigurationNumber(), now)
	}
	for _, r := range d.GetProcesses() {
		g.mergeFrom(p, r, now)
	}
	for _, b := range d.GetBeats() {
		g.beatFrom(p, b, d.GetConfigurationNumber(), now)
	}
}

func (g *Gossiper) mergeFrom(p *peer, r *wire.ProcessRecord, now time.Time) {
	p.knows(identify(r), beatOf(r, now.Add(-age(r.GetAgeMs()))))
	if r.GetName() != g.self.GetName() {
		g.table.Merge(r, now)
	}
}

func (g *Gossiper) beatFrom(p *peer, b *wire.ProcessBeat, number uint64, now time.Time) {
	p.knows(b.GetId(), beat{
		sequence: b.GetSequence(), number: uint64(int64(number) - b.GetBehind()), draining: b.GetDraining(),
		said: now.Add(-age(b.GetAgeMs())),
	})
	if b.GetId() == identify(g.self) {
		return
	}
	if !g.table.MergeBeat(b, number, now) {
		p.unknownProcesses = append(p.unknownProcesses, b.GetId())
	}
}

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

// RequestConfiguration notes that the peer's changes could not be applied, so that its next
// digest should carry the whole configuration.
func (g *Gossiper) RequestConfiguration(name string) {
	if p := g.peers[name]; p != nil {
		p.asks = true
	}
}

// NeedsExchange says that the peer of that name lacks something that should go to it
// at once, or that this process has to ask it for something.
func (g *Gossiper) NeedsExchange(name string, l LocalState, now time.Time) bool {
	p := g.peers[name]
	if p == nil {
		return false
	}
	asks := p.asks || len(p.unknownProcesses) > 0 || len(p.unknownPlacements) > 0
	changes, whole := p.lacks(l.Configuration, now)
	return asks || changes != nil || whole || len(p.wantedProcesses) > 0 || len(p.wantedPlacements) > 0
}

// placementKey names a placement within the gossip.
func placementKey(x *wire.Placement) string {
	return "placement/" + x.GetDataCentre() + "/" + x.GetDomain()
}

func readAt(ageMS uint64, now time.Time) time.Time {
	if ageMS == 0 {
		return time.Time{}
	}
	return now.Add(-age(ageMS - 1))
}

// readAge is the inverse of readAt: 0 means never.
func readAge(at, now time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return millis(now.Sub(at)) + 1
}
