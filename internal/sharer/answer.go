package sharer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _sumLifetime is how long one sum of all loads serves the answers to peers. Loads
	// change with each round of each of them, and a sum costs more the more there are.
	_sumLifetime = 50 * time.Millisecond
	// _maxRelayedBytes is the largest size of changes, in bytes, that a gatherer passes on
	// in one answer to a peer that accepts packed changes, and _maxUnpackedRelayedBytes
	// to another. Peers read larger ones from the platform themselves, whose link
	// delivers them to all peers sooner than the gatherer's.
	_maxRelayedBytes         = 1 << 20
	_maxUnpackedRelayedBytes = 32 << 10
	// _maxPackedBytes is the largest size of packed changes, in bytes, that a gatherer
	// passes on.
	_maxPackedBytes = 256 << 10
	// _maxPackedAnswers is the number of packed answers that are kept for other peers.
	_maxPackedAnswers = 8
)

// packedKey identifies a packed answer: the changes after a revision up to another, or all
// objects as of that one.
type packedKey struct {
	after, to uint64
	list      bool
}

// packedAnswers holds the latest packed answers, since many peers ask for the same. The
// zero value is ready for use.
type packedAnswers struct {
	packer  packer
	answers map[packedKey][]byte
}

// get returns the packed answer of that key, and makes it from changes if it is new.
func (p *packedAnswers) get(k packedKey, changes func() []*wire.ObjectChange) ([]byte, error) {
	if b, ok := p.answers[k]; ok {
		return b, nil
	}
	b, err := p.packer.pack(changes())
	if err != nil {
		return nil, err
	}
	if p.answers == nil || len(p.answers) >= _maxPackedAnswers {
		p.answers = make(map[packedKey][]byte)
	}
	p.answers[k] = b
	return b, nil
}

// answer returns the answer to a peer that asks for the kind's objects or their changes.
// The caller holds the sharer's lock.
func (x *Source) answer(request *wire.Following, now time.Time) *wire.Following {
	out := &wire.Following{Kind: x.kind, List: request.GetList()}
	switch {
	case x.unavailable && !x.follows():
		out.Unavailable, out.Unknown, out.Revision = true, true, x.history.revision
	case request.GetList():
		x.answerListing(out, request, now)
	default:
		x.answerChanges(out, request, now)
	}
	return out
}

// answerListing adds all objects to an answer. An answer of revision 0 says that this
// process does not know them yet.
func (x *Source) answerListing(out, request *wire.Following, now time.Time) {
	l, ok := x.copy.listing(now, _maxGathererAge)
	if !ok || !request.GetAcceptsPacked() {
		out.Unknown = !x.history.readAt.IsZero()
		return
	}
	packed, err := x.packed.get(packedKey{to: l.Revision, list: true}, func() []*wire.ObjectChange { return encodeListing(l) })
	if err != nil || len(packed) > _maxPackedBytes {
		out.Unknown = true
		return
	}
	out.Revision, out.AgeMs, out.PackedChanges = l.Revision, ageMs(x.copy.asOf, now), packed
}

// answerChanges adds the changes that this process has read from the platform after the
// revision that the peer has, as far as it knows them.
func (x *Source) answerChanges(out, request *wire.Following, now time.Time) {
	maxBytes := _maxUnpackedRelayedBytes
	if request.GetAcceptsPacked() {
		maxBytes = _maxRelayedBytes
	}
	out.Revision = x.history.revision
	part, ok := x.history.changesSince(request.GetRevision(), maxBytes)
	if !ok || x.history.readAt.IsZero() {
		out.Unknown = true
		return
	}
	out.AgeMs = ageMs(part.readAt, now)
	if !request.GetAcceptsPacked() || valueBytes(part.changes) < _minPackedBytes {
		out.Revision, out.Changes = part.to, encodeChanges(part.changes)
		return
	}
	packed, err := x.packed.get(packedKey{after: part.after, to: part.to}, func() []*wire.ObjectChange { return encodeChanges(part.changes) })
	if err != nil || len(packed) > _maxPackedBytes {
		out.Unknown = true
		return
	}
	out.Revision, out.PackedChanges = part.to, packed
}

// ageMs returns the time since at in ms.
func ageMs(at, now time.Time) uint32 { return uint32(min(now.Sub(at), time.Hour).Milliseconds()) }

// encodeListing returns the objects of a listing as changes.
func encodeListing(l reflector.Listing[[]byte]) []*wire.ObjectChange {
	out := make([]*wire.ObjectChange, 0, len(l.Values))
	for _, name := range slices.Sorted(maps.Keys(l.Values)) {
		out = append(out, &wire.ObjectChange{Name: name, Value: l.Values[name]})
	}
	return out
}

// Answer returns the answer to a peer's message: to a gatherer the load of this data
// centre, to another process the load of all data centres and the changes that it asks
// for.
func (s *Sharer) Answer(_ context.Context, r *wire.Round) (*wire.Round, error) {
	now := time.Now()
	load := decode(r)
	own := s.OwnLoad()
	own.Processes = 1
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.GetGathers() {
		s.remote.record(r.GetDataCentre(), load, now)
		answer := s.encode(s.local.sum(own, now))
		s.addAnswers(answer, r, now)
		return answer, nil
	}
	s.local.record(r.GetSender(), load, now)
	answer := s.encodeSum(own, now)
	answer.UnansweredDataCentres = s.unansweredDataCentres()
	s.addAnswers(answer, r, now)
	if s.Membership.HasReadList(now) {
		members := s.Membership.Members()
		answer.MembersVersion = members.Version()
		if r.GetMembersVersion() != members.Version() {
			answer.Members = encodeMembers(members)
		}
	}
	return answer, nil
}

// encodeSum returns a message with the load of all data centres, which is up to
// _sumLifetime old; the caller holds the lock.
func (s *Sharer) encodeSum(own Load, now time.Time) *wire.Round {
	if s.summed == nil || now.Sub(s.summedAt) >= _sumLifetime {
		s.summed, s.summedAt = s.encode(s.remote.sum(s.local.sum(own, now), now)), now
	}
	sum := s.summed
	return &wire.Round{
		Sender: sum.GetSender(), DataCentre: sum.GetDataCentre(), Processes: sum.GetProcesses(),
		Loads: sum.GetLoads(), Demands: sum.GetDemands(), Silences: sum.GetSilences(),
		Crashes: sum.GetCrashes(), Verdicts: sum.GetVerdicts(), Departures: sum.GetDepartures(), Limits: sum.GetLimits(), LeaseTerm: sum.GetLeaseTerm(),
	}
}

// addAnswers adds to an answer what a peer asks about the platform's objects; the caller
// holds the lock.
func (s *Sharer) addAnswers(answer, r *wire.Round, now time.Time) {
	for _, f := range r.GetFollowing() {
		answer.Following = append(answer.Following, s.answerFollowing(f, now))
	}
}

// answerFollowing returns the answer to what a peer asks about one kind of objects; the
// caller holds the lock.
func (s *Sharer) answerFollowing(f *wire.Following, now time.Time) *wire.Following {
	for _, x := range s.sources {
		if x.kind == f.GetKind() {
			return x.answer(f, now)
		}
	}
	return &wire.Following{Kind: f.GetKind(), Unknown: true}
}
