package screener

import (
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

const (
	// _maxColdSenders is the largest number of processes that send requests to one cold
	// upstream. Divided among more, its rate would leave each less than one request in the
	// few seconds for which an upstream is cold.
	_maxColdSenders = 8
	// _coldBoundShare is the part of the allowed rate that the senders use at most. The
	// rest is for processes that take themselves for senders by an older list of
	// processes.
	_coldBoundShare = 0.75
	// _coldWindow is the time in which the requests to a cold upstream are counted: a
	// second, and a margin for requests that leave later than they were counted.
	_coldWindow = time.Second + 50*time.Millisecond
)

// ColdLimit bounds the requests to a cold upstream, over all processes, in any second: the
// rate that its service states times Overage, plus Slack.
type ColdLimit struct {
	Overage, Slack float64
}

// coldService is how requests to the cold upstreams of a service are divided.
type coldService struct {
	// coldTime is how long an upstream is cold after its start.
	coldTime time.Duration
	// rate is the number of requests per second that all senders together send to a cold
	// upstream at most.
	rate float64
}

// of returns the division for a service, and false if its upstreams have no limit.
func (l ColdLimit) of(s cataloguer.Service) (coldService, bool) {
	bound := s.ColdRate*l.Overage + l.Slack
	if s.ColdRate <= 0 || bound <= 0 {
		return coldService{}, false
	}
	return coldService{coldTime: s.ColdTime, rate: bound * _coldBoundShare}, true
}

// division returns the number of processes that send requests to one cold upstream, of
// count processes, and how many requests each may send in a second.
func (c coldService) division(count int) (senders, quota int) {
	senders = min(count, _maxColdSenders, int(c.rate))
	if senders == 0 {
		return 0, 0
	}
	return senders, int(c.rate) / senders
}

// totalRate returns the requests per second that a cold upstream gets at most.
func (c coldService) totalRate() float64 { return c.rate }

// coldPhase is a time in which an upstream is cold.
type coldPhase struct {
	source       Source
	since, until time.Time
	life         Life
	// described is the rest of the phase as the upstream last described it.
	described time.Duration
}

// observeCold updates the cold phases by a new list of upstreams. It returns the upstreams
// whose phase has begun or ended, of those that serve callers. The caller holds the lock.
func (s *Screener) observeCold(f *cataloguer.Fleet, now time.Time) (begun, ended []cataloguer.Upstream) {
	for _, u := range f.Upstreams {
		if u.ColdTime > 0 && s.recordCold(&u, now) && serves(&u) {
			begun = append(begun, u)
		}
	}
	maps.DeleteFunc(s.cold, func(id string, p coldPhase) bool {
		u, ok := f.Upstreams[id]
		if ok && u.ColdTime > 0 && now.Before(p.until) {
			return false
		}
		if ok && serves(&u) {
			ended = append(ended, u)
		}
		return true
	})
	maps.DeleteFunc(s.coldSends, func(_ string, at []time.Time) bool {
		return len(at) == 0 || now.Sub(at[len(at)-1]) > _coldWindow
	})
	s.pruneReturned(now)
	return begun, ended
}

// serves reports whether callers' requests are sent to an upstream.
func serves(u *cataloguer.Upstream) bool { return u.Domain == "" || u.IsOpenHead() }

// recordCold records that an upstream describes itself as cold. It returns true if a cold
// phase begins. What the upstream said before does not extend the phase. Phases are recorded
// for services without a limit too: a list of upstreams may arrive before the configuration.
func (s *Screener) recordCold(u *cataloguer.Upstream, now time.Time) bool {
	p, ok := s.cold[u.ID]
	isSame := ok && p.life == LifeOf(u)
	if isSame && p.described == u.ColdTime {
		return false
	}
	next := coldPhase{source: SourceList, since: now, until: now.Add(u.ColdTime), life: LifeOf(u), described: u.ColdTime}
	if isSame {
		next.since = p.since
	}
	if s.cold == nil {
		s.cold = make(map[string]coldPhase)
	}
	s.cold[u.ID] = next
	return !isSame
}

// pruneReturned removes the ends of evacuations after which no upstream is cold any more.
// The caller holds the lock.
func (s *Screener) pruneReturned(now time.Time) {
	longest := time.Duration(0)
	for _, c := range s.services {
		longest = max(longest, c.coldTime)
	}
	maps.DeleteFunc(s.returned, func(_ string, at time.Time) bool { return now.Sub(at) >= longest })
}

// coldPhase returns the cold phase of an upstream whose service has a limit. The upstreams of
// a data centre count as cold when its evacuation ends, since they had no requests, until they
// say otherwise: what they say arrives later than the end. The caller holds the lock.
func (s *Screener) coldPhase(u *cataloguer.Upstream) (coldPhase, bool) {
	service, isLimited := s.services[u.Service]
	if !isLimited {
		return coldPhase{}, false
	}
	p, ok := s.cold[u.ID]
	if returnedAt, returned := s.returned[u.DataCentre]; returned {
		until := returnedAt.Add(service.coldTime)
		if until.After(p.until) {
			return coldPhase{source: SourceOperator, since: returnedAt, until: until}, true
		}
	}
	return p, ok
}

// maySendCold reports whether this process may send a request to a cold upstream now. The
// caller holds the lock.
func (s *Screener) maySendCold(u *cataloguer.Upstream, now time.Time) bool {
	senders, quota := s.services[u.Service].division(s.senders.count())
	if quota == 0 || now.Before(s.BoundedFrom) || !s.senders.include(s.Name, u.ID, senders) {
		return false
	}
	sent := s.coldSends[u.ID]
	return len(sent) < quota || now.Sub(sent[len(sent)-quota]) > _coldWindow
}

// takeCold counts a request to a cold upstream, and reports whether it may be sent. The
// caller holds the lock.
func (s *Screener) takeCold(u *cataloguer.Upstream, now time.Time) bool {
	if !s.maySendCold(u, now) {
		return false
	}
	if s.coldSends == nil {
		s.coldSends = make(map[string][]time.Time)
	}
	_, quota := s.services[u.Service].division(s.senders.count())
	sent := append(s.coldSends[u.ID], now)
	s.coldSends[u.ID] = sent[max(len(sent)-quota, 0):]
	return true
}
