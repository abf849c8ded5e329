package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _roundInterval is the pause between two exchanges with peers.
	_roundInterval = 200 * time.Millisecond
	// _answerTimeout bounds one exchange; the round trip to a peer takes milliseconds.
	_answerTimeout = 350 * time.Millisecond
	// _sumLifetime is how long one sum of all loads serves the answers to peers. Loads
	// change with each round of each of them, and a sum costs more the more there are.
	_sumLifetime = 50 * time.Millisecond
	// _listTimeout bounds an exchange in which this process asks for all objects, which
	// is the first one with that peer after the start of both.
	_listTimeout = 1500 * time.Millisecond
	// _startTimeout is how long a process waits after its start for its gatherer, before
	// it reads all objects from the platform itself.
	_startTimeout = 3 * time.Second
	// _startPollInterval is how often a process checks after its start whether the list of
	// processes is known.
	_startPollInterval = 50 * time.Millisecond
)

// Exchanger sends a message to the peer at address and returns the peer's answer; both
// are of type wire.Round.
type Exchanger interface {
	Exchange(ctx context.Context, address string, r *wire.Round) (*wire.Round, error)
}

// Membership holds the list of the running processes, this one included. Where the
// gatherer has read it from the platform, the others receive it from the gatherer.
type Membership interface {
	Members() enumerator.Members
	// HasReadList reports whether this process has itself read the list recently.
	HasReadList(now time.Time) bool
	// Receive takes the list that a peer has read, and Confirm records that a peer has
	// read the list that this process has.
	Receive(m enumerator.Members, now time.Time)
	Confirm(now time.Time)
}

// TotalLoad is the most recent load of all processes together.
type TotalLoad struct {
	Load
	// OwnLoad is the part of Load that belongs to this process, as of At.
	OwnLoad Load
	At      time.Time
}

// Sharer exchanges loads and changes with peers. Set its fields before Run.
type Sharer struct {
	Name       string
	DataCentre string
	// Peerless says that this process exchanges nothing with peers, so that Run is not
	// called.
	Peerless   bool
	Exchanger  Exchanger
	Membership Membership
	// OwnLoad returns the load of this process.
	OwnLoad func() Load
	// ReadsDirectly reports whether this process reads the platform itself even where
	// another process is the gatherer.
	ReadsDirectly func() bool
	// Publish is called with the most recent total load, from Run's goroutine.
	Publish func(TotalLoad)
	// OnGathererChange is called when another process than before becomes the gatherer of
	// this data centre; it must not block.
	OnGathererChange func()
	Log              logger.Logger

	sources []*Source

	mu sync.Mutex
	// local holds the loads of processes of the same data centre by process name, and
	// remote those of other data centres by data centre.
	local, remote loadTable
	// summed is the encoded sum of all loads as of summedAt. It is not changed later.
	summed   *wire.Round
	summedAt time.Time
	selector gathererSelector
	running  bool
	// selected is true once the gatherers were selected from a list of processes.
	selected bool
	// wake ends the pause between two rounds early; nil until Run is called.
	wake chan struct{}
	// gatherer is the name of the gatherer of this data centre; empty where this
	// process is the gatherer.
	gatherer string
}

// IsRunning reports whether Run has started, so that peers may depend on this process.
func (s *Sharer) IsRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// FollowsGatherer reports whether this process learns of changes through a gatherer
// rather than from the platform.
func (s *Sharer) FollowsGatherer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gatherer != "" && !s.ReadsDirectly()
}

// IsGatherer reports whether this process is the gatherer of its data centre.
func (s *Sharer) IsGatherer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gatherer == ""
}

// Run exchanges messages with peers until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	s.mu.Lock()
	s.running, s.wake = true, make(chan struct{}, 1)
	wake := s.wake
	s.mu.Unlock()
	for len(s.Membership.Members().Peers()) == 0 && pauser.Pause(ctx, _startPollInterval) {
		continue
	}
	for ctx.Err() == nil {
		s.round(ctx)
		pause(ctx, _roundInterval, wake)
	}
}

// pause waits for d, or until wake has a value or ctx ends.
func pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// wakeRun makes Run begin its next round now. The caller holds the lock.
func (s *Sharer) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
		// Run is not pausing, or has been woken already.
	}
}

// AwaitRole waits until this process knows whether it is the gatherer of its data centre,
// at most for the time in which that is usual after a start.
func (s *Sharer) AwaitRole(ctx context.Context) {
	isKnown := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.Peerless || s.selected
	}
	for deadline := time.Now().Add(_startTimeout); !isKnown() && time.Now().Before(deadline); {
		if !pauser.Pause(ctx, _rolePollInterval) {
			return
		}
	}
}

// round exchanges one message with the gatherer, or with the other gatherers.
func (s *Sharer) round(ctx context.Context) {
	now := time.Now()
	own := s.OwnLoad()
	own.Processes = 1
	s.mu.Lock()
	gatherers := s.selector.gatherers(s.Membership.Members().Peers(), s.Name, now)
	gatherer, ok := gatherers[s.DataCentre]
	isGatherer := !ok || gatherer.Name == s.Name
	s.setGatherer(gatherer, isGatherer)
	s.mu.Unlock()
	if isGatherer {
		s.exchangeWithGatherers(ctx, now, own, gatherers)
	} else {
		s.reportToGatherer(ctx, now, own, gatherer)
	}
}

// setGatherer records the gatherer of this data centre; the caller holds the lock.
func (s *Sharer) setGatherer(gatherer enumerator.Peer, isGatherer bool) {
	before, first := s.gatherer, !s.selected
	s.gatherer, s.selected = gatherer.Name, true
	if isGatherer {
		s.gatherer = ""
	}
	if s.gatherer != before {
		s.Log.Event("gatherer", logger.Fields{"gatherer": gatherer.Name, "before": before, "self": isGatherer, "data_centre": s.DataCentre})
		if s.OnGathererChange != nil && !first {
			s.OnGathererChange()
		}
	}
}

// exchangeWithGatherers sends the load of this data centre to the gatherers of the
// others, and publishes the sum with their loads.
func (s *Sharer) exchangeWithGatherers(ctx context.Context, now time.Time, own Load, gatherers map[string]enumerator.Peer) {
	s.mu.Lock()
	sum := s.local.sum(own, now)
	s.mu.Unlock()
	var group sync.WaitGroup
	for centre, p := range gatherers {
		if centre == s.DataCentre {
			continue
		}
		group.Go(func() {
			r := s.encode(sum)
			r.Gathers = true
			answer, ok := s.exchange(ctx, p, r, _answerTimeout)
			if !ok {
				return
			}
			s.mu.Lock()
			s.remote.record(centre, decode(answer), time.Now())
			s.mu.Unlock()
		})
	}
	group.Wait()
	s.mu.Lock()
	all := s.remote.sum(sum, now)
	s.mu.Unlock()
	s.Publish(TotalLoad{Load: all, OwnLoad: own, At: now})
}

// reportToGatherer sends this process's load to the gatherer, and publishes the total
// load and the changes in its answer.
func (s *Sharer) reportToGatherer(ctx context.Context, now time.Time, own Load, gatherer enumerator.Peer) {
	r := s.encode(own)
	timeout := _answerTimeout
	s.mu.Lock()
	for _, x := range s.sources {
		f := x.request()
		r.Following = append(r.Following, f)
		if f.GetList() {
			timeout = _listTimeout
		}
	}
	s.mu.Unlock()
	r.MembersVersion = s.Membership.Members().Version()
	answer, ok := s.exchange(ctx, gatherer, r, timeout)
	if !ok {
		return
	}
	s.receiveMembers(answer, time.Now())
	for _, f := range answer.GetFollowing() {
		if err := s.deliver(f, r); err != nil {
			s.Log.Failure("peer-unreadable", err, logger.Fields{"peer": gatherer.Name, "kind": f.GetKind()})
		}
	}
	s.Publish(TotalLoad{Load: decode(answer), OwnLoad: own, At: now})
}

// receiveMembers takes the list of processes in the gatherer's answer, if it has one.
func (s *Sharer) receiveMembers(answer *wire.Round, now time.Time) {
	switch {
	case len(answer.GetMembers()) > 0:
		s.Membership.Receive(decodeMembers(answer.GetMembers()), now)
	case answer.GetMembersVersion() != 0 && answer.GetMembersVersion() == s.Membership.Members().Version():
		s.Membership.Confirm(now)
	}
}

// deliver passes the gatherer's answer about one kind of objects to the source of that
// kind.
func (s *Sharer) deliver(answer *wire.Following, request *wire.Round) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.sources {
		if x.kind == answer.GetKind() {
			return x.receive(request.GetFollowing()[i], answer, time.Now())
		}
	}
	return nil
}

// exchange sends a message to a peer and returns the peer's answer; false where the peer
// did not answer within timeout or ctx ended.
func (s *Sharer) exchange(ctx context.Context, p enumerator.Peer, r *wire.Round, timeout time.Duration) (*wire.Round, bool) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := s.Exchanger.Exchange(call, p.Address, r)
	if ctx.Err() != nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.selector.recordFailure(p.Name, time.Now())
		s.Log.Failure("peer-lost", err, logger.Fields{"peer": p.Name, "data_centre": p.DataCentre})
		return nil, false
	}
	if s.selector.recordAnswer(p.Name) {
		s.Log.Event("peer-regained", logger.Fields{"peer": p.Name, "data_centre": p.DataCentre})
	}
	return answer, true
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
		return s.encode(s.local.sum(own, now)), nil
	}
	s.local.record(r.GetSender(), load, now)
	answer := s.encodeSum(own, now)
	for _, f := range r.GetFollowing() {
		answer.Following = append(answer.Following, s.answerFollowing(f, now))
	}
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
