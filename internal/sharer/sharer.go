package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _round is the time between two rounds.
	_round = 200 * time.Millisecond
	// _answerTimeout bounds one exchange; peers are milliseconds away.
	_answerTimeout = 350 * time.Millisecond
	// _maxShared is the size of changes, in bytes, from which peers read the platform
	// themselves: its link carries that to all of them sooner than the gatherer's.
	_maxShared = 32 << 10
)

// Exchanger sends a round to the peer at an address and returns its answer.
type Exchanger interface {
	Exchange(ctx context.Context, address string, r *wire.Round) (*wire.Round, error)
}

// TotalLoad is what all processes have under way, as of late.
type TotalLoad struct {
	Load
	// OwnLoad is this process's part of it, at the same moment.
	OwnLoad Load
	At  time.Time
}

// Sharer exchanges rounds with peers. Set its fields before Run.
type Sharer struct {
	Name       string
	DataCentre string
	Exchanger  Exchanger
	// Peers returns the processes that are known, this one among them.
	Peers func() []Peer
	// Own returns what this process has under way.
	Own func() Load
	// ReadsDirectly says that this process reads the platform itself in any case.
	ReadsDirectly func() bool
	// Publish is told what all processes have under way, from Run's goroutine.
	Publish func(TotalLoad)
	// OnGathererChange is called when another process gathers than before; it must not block.
	OnGathererChange func()
	Log     logger.Logger

	sources []*Source

	mu sync.Mutex
	// members are loads of processes of the same data centre, and others those of
	// other data centres.
	members, others ledger
	circle          circle
	running         bool
	// asking is the gatherer that this process asks; empty where it gathers itself.
	asking string
}

// IsRunning says that this process exchanges rounds with peers.
func (s *Sharer) IsRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// FollowsGatherer says that this process follows the platform through a gatherer.
func (s *Sharer) FollowsGatherer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asking != "" && !s.ReadsDirectly()
}

// IsGatherer says that this process gathers for its data centre.
func (s *Sharer) IsGatherer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asking == ""
}

// Run exchanges rounds until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	s.mu.Lock()
	s.running = true
	s.mu.Unlock()
	for pauser.Pause(ctx, _round) {
		now := time.Now()
		own := s.Own()
		own.Processes = 1
		s.mu.Lock()
		gatherers := s.circle.gatherers(s.Peers(), s.Name, now)
		mine, ok := gatherers[s.DataCentre]
		gathers := !ok || mine.Name == s.Name
		s.choose(mine, gathers)
		s.mu.Unlock()
		if gathers {
			s.gather(ctx, now, own, gatherers)
		} else {
			s.report(ctx, now, own, mine)
		}
	}
}

// choose notes whom this process asks; the lock is held.
func (s *Sharer) choose(mine Peer, gathers bool) {
	before := s.asking
	s.asking = mine.Name
	if gathers {
		s.asking = ""
	}
	if s.asking != before {
		s.Log.Event("gatherer", logger.Fields{"gatherer": mine.Name, "before": before, "self": gathers, "data_centre": s.DataCentre})
		if s.OnGathererChange != nil {
			s.OnGathererChange()
		}
	}
}

// gather tells the other gatherers the load of this data centre, and adds theirs.
func (s *Sharer) gather(ctx context.Context, now time.Time, own Load, gatherers map[string]Peer) {
	s.mu.Lock()
	sum := s.members.sum(own, now)
	s.mu.Unlock()
	var group sync.WaitGroup
	for centre, p := range gatherers {
		if centre == s.DataCentre {
			continue
		}
		group.Go(func() {
			r := s.encode(sum)
			r.Gathers = true
			answer, ok := s.exchange(ctx, p, r)
			if !ok {
				return
			}
			s.mu.Lock()
			s.others.put(centre, decode(answer), time.Now())
			s.mu.Unlock()
		})
	}
	group.Wait()
	s.mu.Lock()
	all := s.others.sum(sum, now)
	s.mu.Unlock()
	s.Publish(TotalLoad{Load: all, OwnLoad: own, At: now})
}

// report tells the gatherer this process's load, and takes what it answers.
func (s *Sharer) report(ctx context.Context, now time.Time, own Load, gatherer Peer) {
	r := s.encode(own)
	s.mu.Lock()
	for _, x := range s.sources {
		r.Following = append(r.Following, &wire.Following{Kind: x.kind, Revision: x.wanted})
	}
	s.mu.Unlock()
	answer, ok := s.exchange(ctx, gatherer, r)
	if !ok {
		return
	}
	s.mu.Lock()
	for _, f := range answer.GetFollowing() {
		s.take(f, r)
	}
	s.mu.Unlock()
	s.Publish(TotalLoad{Load: decode(answer), OwnLoad: own, At: now})
}

// take notes what the gatherer knows of a kind; the lock is held.
func (s *Sharer) take(f *wire.Following, asked *wire.Round) {
	for i, x := range s.sources {
		if x.kind == f.GetKind() && asked.GetFollowing()[i].GetRevision() == x.wanted {
			x.take(f, time.Now())
		}
	}
}

// exchange sends a round to a peer. It is false where no answer came.
func (s *Sharer) exchange(ctx context.Context, p Peer, r *wire.Round) (*wire.Round, bool) {
	call, cancel := context.WithTimeout(ctx, _answerTimeout)
	defer cancel()
	answer, err := s.Exchanger.Exchange(call, p.Address, r)
	if ctx.Err() != nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.circle.failed(p.Name, time.Now())
		s.Log.Failure("peer-lost", err, logger.Fields{"peer": p.Name, "data_centre": p.DataCentre})
		return nil, false
	}
	if s.circle.answered(p.Name) {
		s.Log.Event("peer-regained", logger.Fields{"peer": p.Name, "data_centre": p.DataCentre})
	}
	return answer, true
}

// Answer answers a peer's round.
func (s *Sharer) Answer(_ context.Context, r *wire.Round) (*wire.Round, error) {
	now := time.Now()
	own := s.Own()
	own.Processes = 1
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.GetGathers() {
		s.others.put(r.GetDataCentre(), decode(r), now)
		return s.encode(s.members.sum(own, now)), nil
	}
	s.members.put(r.GetSender(), decode(r), now)
	answer := s.encode(s.others.sum(s.members.sum(own, now), now))
	for _, f := range r.GetFollowing() {
		answer.Following = append(answer.Following, s.changes(f, now))
	}
	return answer, nil
}

// changes returns what this process has read itself since a peer's revision; the
// lock is held.
func (s *Sharer) changes(f *wire.Following, now time.Time) *wire.Following {
	for _, x := range s.sources {
		if x.kind != f.GetKind() {
			continue
		}
		list, ok := x.history.since(f.GetRevision())
		if size(list) > _maxShared {
			list, ok = nil, false
		}
		return &wire.Following{
			Kind: x.kind, Revision: x.history.revision, Unknown: !ok || x.history.seen.IsZero(),
			AgeMs: uint32(min(now.Sub(x.history.seen), time.Hour).Milliseconds()), Changes: encodeChanges(list),
		}
	}
	return &wire.Following{Kind: f.GetKind(), Unknown: true}
}
