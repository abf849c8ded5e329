package screener

import (
	"maps"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// State is whether an upstream may take requests, and if not, why.
type State int

// States, from the least to the most restrictive.
const (
	// StateReady is the state of an upstream that takes requests.
	StateReady State = iota
	// StateLimited is the state of an upstream that states how many requests it takes.
	StateLimited
	// StateCold is the state of an upstream that takes requests at a limited rate, since it
	// has just started or had no requests.
	StateCold
	// StateWaiting is the state of an upstream that asked this process to wait.
	StateWaiting
	// StateLeaving is the state of an upstream that is about to leave.
	StateLeaving
	// StateEvacuated is the state of an upstream in an evacuated data centre.
	StateEvacuated
)

// String returns the name of the state as logs and refusals show it.
func (s State) String() string {
	return [...]string{"ready", "limited", "cold", "asked-to-wait", "leaving", "evacuated"}[s]
}

// Source is where the evidence for a state comes from.
type Source string

// Sources of evidence.
const (
	// SourceList is the platform's list of upstreams.
	SourceList Source = "list"
	// SourceResponse is a response of the upstream to this process.
	SourceResponse Source = "response"
	// SourcePeer is another process.
	SourcePeer Source = "peer"
	// SourceOperator is an operator's request to evacuate a data centre, or its end.
	SourceOperator Source = "operator"
)

// Verdict is the state of an upstream with its evidence. Since is when this process
// learned of the evidence, and Until is when the state ends; each is zero if unknown.
type Verdict struct {
	State        State
	Source       Source
	Since, Until time.Time
}

// Screener holds what this process knows of the states of upstreams. Set its exported
// fields before use. It is safe for concurrent use.
type Screener struct {
	// Name is the name of this process, as in the list given to SetProcesses.
	Name string
	// ColdLimit limits the requests to cold upstreams. Its zero value sets no limit.
	ColdLimit ColdLimit
	// BoundedFrom is when this process may begin to send requests to cold and limited
	// upstreams: an earlier run of it may have sent some just before. The zero time means at
	// once.
	BoundedFrom time.Time

	mu sync.Mutex
	// evacuated holds when this process learned of the evacuation of each data centre,
	// and returned when it learned of its end.
	evacuated, returned map[string]time.Time
	departures          departures
	limits              limits
	// waits holds until when upstreams asked this process to wait, by their id.
	waits map[string]wait
	// services holds the limits for cold upstreams of each service that has one.
	services map[string]coldService
	// cold holds the cold upstreams that the platform's list shows, by id.
	cold map[string]coldPhase
	// coldSends holds when this process last sent requests to cold upstreams, by id.
	coldSends map[string][]time.Time
	senders   senders
}

// SetConfiguration sets the limits for cold upstreams that the configuration states.
func (s *Screener) SetConfiguration(c *cataloguer.Configuration) {
	services := make(map[string]coldService)
	for name, x := range c.Services {
		if service, ok := s.ColdLimit.of(x); ok {
			services[name] = service
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services = services
}

// SetEvacuated sets the evacuated data centres. It returns those whose evacuation has
// begun, and those whose evacuation has ended, by name, each with the time for which it
// lasted.
func (s *Screener) SetEvacuated(dataCentres map[string]bool, now time.Time) (begun []string, ended map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended = make(map[string]time.Duration)
	for d := range dataCentres {
		if _, ok := s.evacuated[d]; ok {
			continue
		}
		if s.evacuated == nil {
			s.evacuated, s.returned = make(map[string]time.Time), make(map[string]time.Time)
		}
		s.evacuated[d] = now
		delete(s.returned, d)
		begun = append(begun, d)
	}
	for d, since := range s.evacuated {
		if dataCentres[d] {
			continue
		}
		delete(s.evacuated, d)
		s.returned[d] = now
		ended[d] = now.Sub(since)
	}
	return begun, ended
}

// Evacuated returns the evacuated data centres.
func (s *Screener) Evacuated() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]bool, len(s.evacuated))
	for d := range s.evacuated {
		out[d] = true
	}
	return out
}

// Observe takes a new list of upstreams. It returns the upstreams whose cold phase the
// list shows to begin or to have ended, of those that callers' requests are sent to.
func (s *Screener) Observe(f *cataloguer.Fleet, now time.Time) (begun, ended []cataloguer.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carryOver(f)
	s.departures.prune(f, now)
	maps.DeleteFunc(s.waits, func(_ string, w wait) bool { return !now.Before(w.until) })
	return s.observeCold(f, now)
}

// Screen returns the state of an upstream.
func (s *Screener) Screen(u *cataloguer.Upstream, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdict(u, now)
}

// IsLeaving reports whether an upstream has announced in a response that it is leaving,
// beside what the platform's list says of it.
func (s *Screener) IsLeaving(u *cataloguer.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.departures.find(u)
	return ok
}

// verdict is Screen; the caller holds the lock.
func (s *Screener) verdict(u *cataloguer.Upstream, now time.Time) Verdict {
	if since, ok := s.evacuated[u.DataCentre]; ok {
		return Verdict{State: StateEvacuated, Source: SourceOperator, Since: since}
	}
	if u.Draining {
		return Verdict{State: StateLeaving, Source: SourceList}
	}
	if d, ok := s.departures.find(u); ok {
		return Verdict{State: StateLeaving, Source: d.source, Since: d.since}
	}
	if w, ok := s.waits[u.ID]; ok && w.life == LifeOf(u) && now.Before(w.until) {
		return Verdict{State: StateWaiting, Source: SourceResponse, Since: w.since, Until: w.until}
	}
	if p, ok := s.coldPhase(u); ok && now.Before(p.until) {
		return Verdict{State: StateCold, Source: p.source, Since: p.since, Until: p.until}
	}
	if x := s.limits.find(u, now); x != nil {
		return Verdict{State: StateLimited, Source: x.source, Since: x.since}
	}
	return Verdict{}
}

// Take counts a request to an upstream that Select has returned as a candidate, and
// reports whether the request may be sent.
func (s *Screener) Take(u *cataloguer.Upstream, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.verdict(u, now).State {
	case StateReady:
		return true
	case StateCold, StateLimited:
		return s.takeBounded(u, now)
	default:
		return false
	}
}

// takeBounded is Take for an upstream that is cold, limited or both. The caller holds the
// lock.
func (s *Screener) takeBounded(u *cataloguer.Upstream, now time.Time) bool {
	isCold, x := s.isCold(u, now), s.limits.find(u, now)
	if isCold && !s.maySendCold(u, now) || x != nil && !s.takeLimited(u, x, now) {
		return false
	}
	return !isCold || s.takeCold(u, now)
}

// Count returns the number of upstreams in each state but StateReady.
func (s *Screener) Count(f *cataloguer.Fleet, now time.Time) map[State]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[State]int64)
	for _, u := range f.Upstreams {
		if v := s.verdict(&u, now); v.State != StateReady {
			out[v.State]++
		}
	}
	return out
}
