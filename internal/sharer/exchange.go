package sharer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _answerTimeout bounds one exchange; the round trip to a peer takes milliseconds.
	_answerTimeout = 350 * time.Millisecond
	// _listTimeout bounds an exchange in which this process asks for all objects, which
	// is the first one with that peer after the start of both.
	_listTimeout = 1500 * time.Millisecond
)

// retry asks a peer that failed whether it answers again, and does not wait for the answer. The
// peer may have ended, so nothing depends on it before it has answered.
func (s *Sharer) retry(ctx context.Context, now time.Time, p enumerator.Peer, own Load) {
	load, gathers := own, p.DataCentre != s.DataCentre
	s.mu.Lock()
	s.selector.beginRetry(p.Name, now.Add(_answerTimeout))
	if gathers {
		load = s.local.sum(own, now)
	}
	s.mu.Unlock()
	r := s.encode(load)
	r.Gathers = gathers
	s.retries.Go(func() { _, _ = s.exchange(ctx, p, r, _answerTimeout) })
}

// exchangeWithGatherers sends the load of this data centre to the gatherers of the
// others, and publishes the sum with their loads. It also receives the changes of the
// platform's objects from the one of them that is the reader.
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
			timeout := s.addRequests(r, p)
			answer, ok := s.exchange(ctx, p, r, timeout)
			s.setUnanswered(centre, !ok)
			if !ok {
				return
			}
			s.mu.Lock()
			s.remote.record(centre, decode(answer), time.Now())
			s.mu.Unlock()
			s.deliver(answer, r, p)
		})
	}
	group.Wait()
	s.mu.Lock()
	all := s.remote.sum(sum, now)
	unanswered := s.unansweredDataCentres()
	s.mu.Unlock()
	s.Publish(TotalLoad{Load: all, OwnLoad: own, UnansweredDataCentres: unanswered, At: now})
}

// setUnanswered records whether the last attempt to reach a process of a data centre has
// failed.
func (s *Sharer) setUnanswered(centre string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unanswered == nil {
		s.unanswered = make(map[string]bool)
	}
	if failed {
		s.unanswered[centre] = true
	} else {
		delete(s.unanswered, centre)
	}
}

// unansweredDataCentres returns the data centres of which no process has answered since
// the last attempt; the caller holds the lock.
func (s *Sharer) unansweredDataCentres() []string {
	return slices.Sorted(maps.Keys(s.unanswered))
}

// reportToGatherer sends this process's load to the gatherer, and publishes the total
// load and the changes in its answer.
func (s *Sharer) reportToGatherer(ctx context.Context, now time.Time, own Load, gatherer enumerator.Peer) {
	r := s.encode(own)
	timeout := s.addRequests(r, gatherer)
	r.MembersVersion = s.Membership.Members().Version()
	answer, ok := s.exchange(ctx, gatherer, r, timeout)
	if !ok {
		return
	}
	s.receiveMembers(answer, time.Now())
	// Publish first: otherwise this process could send to upstreams whose limits it does not
	// know yet.
	s.Publish(TotalLoad{Load: decode(answer), OwnLoad: own, UnansweredDataCentres: answer.GetUnansweredDataCentres(), At: now})
	s.deliver(answer, r, gatherer)
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

// addRequests adds to a message what this process asks about the platform's objects, if it
// follows that peer, and returns how long to wait for the answer.
func (s *Sharer) addRequests(r *wire.Round, p enumerator.Peer) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Name != s.gatherer && p.Name != s.reader {
		return _answerTimeout
	}
	timeout := _answerTimeout
	for _, x := range s.sources {
		f := x.request()
		r.Following = append(r.Following, f)
		if f.GetList() {
			timeout = _listTimeout
		}
	}
	return timeout
}

// deliver passes what a peer answers about the platform's objects to their sources.
func (s *Sharer) deliver(answer, request *wire.Round, p enumerator.Peer) {
	for _, a := range answer.GetFollowing() {
		for i, f := range request.GetFollowing() {
			if f.GetKind() != a.GetKind() {
				continue
			}
			if err := s.receive(s.sources[i], f, a, p); err != nil {
				s.Log.Failure("peer-unreadable", err, logger.Fields{"peer": p.Name, "kind": f.GetKind()})
			}
		}
	}
}

// receive passes a peer's answer about one kind of objects to its source.
func (s *Sharer) receive(x *Source, request, answer *wire.Following, p enumerator.Peer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if p.Name == s.reader && !isTrusted(answer) {
		s.selector.recordUnavailable(p.Name, now)
	}
	x.answeredBy = p.Name
	return x.receive(request, answer, now)
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
		if p.Name == s.gatherer || p.Name == s.reader {
			// Another peer takes its place now, not after a pause.
			s.wakeRun()
		}
		s.Log.Failure("peer-lost", err, logger.Fields{"peer": p.Name, "data_centre": p.DataCentre})
		return nil, false
	}
	if s.selector.recordAnswer(p.Name) {
		s.Log.Event("peer-regained", logger.Fields{"peer": p.Name, "data_centre": p.DataCentre})
	}
	return answer, true
}
