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
	// _listInterval is the pause between two exchanges while this process waits for all
	// objects of a kind.
	_listInterval = 40 * time.Millisecond
	// _startTimeout is how long a process waits after its start for its gatherer, before
	// it reads all objects from the platform itself.
	_startTimeout = 3 * time.Second
	// _steadyLimit is the time since a peer last told all changes above which this process
	// no longer counts on it.
	_steadyLimit = 1500 * time.Millisecond
	// _startPollInterval is how often a process checks after its start whether the list of
	// processes is known.
	_startPollInterval = 20 * time.Millisecond
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
	// UnansweredDataCentres are those whose processes did not answer the last attempt of
	// this data centre's gatherer to reach one.
	UnansweredDataCentres []string
	At                    time.Time
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
	// Publish is called with the most recent total load, from Run's goroutine.
	Publish func(TotalLoad)
	// OnRoleChange is called when this process follows another peer than before, or none;
	// it must not block.
	OnRoleChange func()
	Log          logger.Logger

	sources []*Source

	mu sync.Mutex
	// local holds the loads of processes of the same data centre by process name, and
	// remote those of other data centres by data centre.
	local, remote loadTable
	// unanswered holds the data centres of which no process has answered since the last
	// attempt to reach one.
	unanswered map[string]bool
	// summed is the encoded sum of all loads as of summedAt. It is not changed later.
	summed   *wire.Round
	summedAt time.Time
	selector gathererSelector
	running  bool
	// selected is true once the gatherers were selected from a list of processes.
	selected bool
	// recovered is closed, and replaced, when the platform answers again; nil until Source.Recovered
	// is called.
	recovered chan struct{}
	// wake ends the pause between two rounds early; nil until Run is called.
	wake chan struct{}
	// gatherer is the name of the gatherer of this data centre; empty where this
	// process is the gatherer.
	gatherer string
	// reader is the name of the gatherer that reads the platform for this one; empty
	// where this process is no gatherer or reads itself.
	reader string
	// retries are the exchanges under way with peers that failed before.
	retries sync.WaitGroup
}

// IsRunning reports whether Run has started, so that peers may depend on this process.
func (s *Sharer) IsRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// FollowsPeer reports whether this process learns of changes through a peer rather than
// from the platform.
func (s *Sharer) FollowsPeer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followsPeer()
}

// followsPeer is FollowsPeer; the caller holds the lock.
func (s *Sharer) followsPeer() bool { return s.gatherer != "" || s.reader != "" }

// IsRelieved reports whether other processes look after the platform in place of this one:
// its gatherer, or for a gatherer a reader that has lately told it all changes.
func (s *Sharer) IsRelieved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gatherer != "" || s.reader != "" && s.isInformed()
}

// isInformed reports whether a peer has lately told this process all changes; the caller
// holds the lock.
func (s *Sharer) isInformed() bool {
	for _, x := range s.sources {
		if time.Since(x.confirmedAt) > _steadyLimit {
			return false
		}
	}
	return true
}

// IsReader reports whether this process reads the platform for its peers.
func (s *Sharer) IsReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running && s.selected && s.gatherer == "" && s.reader == ""
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
		pause(ctx, s.roundInterval(), wake)
	}
	s.retries.Wait()
}

// roundInterval returns the pause until the next round. It is short while this process
// waits for all objects, which it has at its start.
func (s *Sharer) roundInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sources {
		if x.wantsList && s.followsPeer() {
			return _listInterval
		}
	}
	return _roundInterval
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

// notifyRecovered ends the pauses of reflectors whose reads have failed. The caller holds the
// lock.
func (s *Sharer) notifyRecovered() {
	if s.recovered != nil {
		close(s.recovered)
		s.recovered = nil
	}
}

// AwaitRole waits until this process knows that it reads the platform, or a peer has told
// it all that the peer has read, at most for the time in which that is usual after a start.
func (s *Sharer) AwaitRole(ctx context.Context) {
	isKnown := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.Peerless || s.selected && (!s.followsPeer() || s.isInformed())
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
	peers := s.Membership.Members().Peers()
	gatherers := s.selector.gatherers(peers, s.Name, now)
	gatherer, ok := gatherers[s.DataCentre]
	isGatherer := !ok || gatherer.Name == s.Name
	first := !s.selected
	changed := s.setGatherer(gatherer, isGatherer)
	reader := s.selector.reader(gatherers, now)
	changed = s.setReader(reader, isGatherer && reader.Name != "" && reader.Name != s.Name) || changed
	s.selected = true
	retries := s.selector.retries(peers, gatherers, now)
	if changed {
		s.wakeSources()
	}
	s.mu.Unlock()
	if changed && !first && s.OnRoleChange != nil {
		s.OnRoleChange()
	}
	for _, p := range retries {
		if isGatherer || p.DataCentre == s.DataCentre {
			s.retry(ctx, now, p, own)
		}
	}
	if isGatherer {
		s.exchangeWithGatherers(ctx, now, own, gatherers)
	} else {
		s.reportToGatherer(ctx, now, own, gatherer)
	}
}

// wakeSources makes the sources that wait for a peer look at once whether they still follow it.
// The caller holds the lock.
func (s *Sharer) wakeSources() {
	for _, x := range s.sources {
		x.notifyUpdated()
	}
}

// setGatherer records the gatherer of this data centre, and reports whether it has
// changed; the caller holds the lock.
func (s *Sharer) setGatherer(gatherer enumerator.Peer, isGatherer bool) bool {
	before := s.gatherer
	s.gatherer = gatherer.Name
	if isGatherer {
		s.gatherer = ""
	}
	if s.gatherer == before {
		return false
	}
	s.Log.Event("gatherer", logger.Fields{"gatherer": gatherer.Name, "before": before, "self": isGatherer, "data_centre": s.DataCentre})
	return true
}

// setReader records the gatherer that reads the platform for this one, if this process is
// a gatherer that follows one, and reports whether it has changed; the caller holds the
// lock.
func (s *Sharer) setReader(reader enumerator.Peer, follows bool) bool {
	before := s.reader
	s.reader = ""
	if follows {
		s.reader = reader.Name
	}
	if s.reader == before {
		return false
	}
	s.Log.Event("reader", logger.Fields{"reader": reader.Name, "before": before, "self": !follows, "data_centre": s.DataCentre})
	return true
}
