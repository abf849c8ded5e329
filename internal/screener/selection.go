package screener

import (
	"math"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Selection holds the upstreams of a list that may take requests.
type Selection struct {
	// Candidates are those to which this process may send a request now.
	Candidates []cataloguer.Upstream
	// Serving are those to which processes may send any number of requests, and Bounded
	// the cold and limited ones. Rates has how many requests per second all processes
	// together send to each of Bounded.
	Serving, Bounded []cataloguer.Upstream
	Rates            []float64
	// Excluded is the least restrictive state of the upstreams that are not among
	// Candidates; it has no meaning if all are.
	Excluded State
	// FreeAt is when the first of those that asked this process to wait, or that are
	// limited, may take requests of this process again; zero if there are none.
	FreeAt time.Time
}

// Select returns which of the given upstreams of one service may take requests.
func (s *Screener) Select(upstreams []cataloguer.Upstream, now time.Time) Selection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnrestricted(upstreams) {
		return Selection{Candidates: upstreams, Serving: upstreams}
	}
	out := Selection{Excluded: StateEvacuated}
	for i := range upstreams {
		u := &upstreams[i]
		v := s.verdict(u, now)
		mayTake := v.State == StateReady
		switch v.State {
		case StateReady:
			out.Serving = append(out.Serving, *u)
		case StateWaiting:
			// Only this process is asked to wait.
			out.Serving = append(out.Serving, *u)
			out.freeAt(v.Until)
		case StateCold, StateLimited:
			var from time.Time
			mayTake, from = s.addBounded(&out, u, now)
			out.freeAt(from)
		}
		if mayTake {
			out.Candidates = append(out.Candidates, *u)
		} else {
			out.Excluded = min(out.Excluded, v.State)
		}
	}
	return out
}

// freeAt records when an upstream takes requests again; zero if that is unknown.
func (s *Selection) freeAt(at time.Time) {
	if !at.IsZero() && (s.FreeAt.IsZero() || at.Before(s.FreeAt)) {
		s.FreeAt = at
	}
}

// addBounded adds an upstream that is cold, limited or both to a selection. It reports
// whether this process may send a request to it now, and if it may not because of a limit,
// from when; zero if it never may. The caller holds the lock.
func (s *Screener) addBounded(out *Selection, u *cataloguer.Upstream, now time.Time) (bool, time.Time) {
	rate, mayTake, from := math.Inf(1), true, time.Time{}
	if s.isCold(u, now) {
		rate, mayTake = s.services[u.Service].totalRate(), s.maySendCold(u, now)
	}
	if x := s.limits.find(u, now); x != nil {
		rate = min(rate, x.rate)
		next, isSender := s.limitedTurn(u, x)
		mayTake = mayTake && isSender && !now.Before(next)
		from = next
	}
	out.Bounded, out.Rates = append(out.Bounded, *u), append(out.Rates, rate)
	return mayTake, from
}

// isCold reports whether an upstream is cold. The caller holds the lock.
func (s *Screener) isCold(u *cataloguer.Upstream, now time.Time) bool {
	p, ok := s.coldPhase(u)
	return ok && now.Before(p.until)
}

// isUnrestricted reports whether nothing is known that restricts any upstream of a list.
// The caller holds the lock.
func (s *Screener) isUnrestricted(upstreams []cataloguer.Upstream) bool {
	if len(s.evacuated) > 0 || len(s.returned) > 0 || len(s.departures.byLife) > 0 || len(s.waits) > 0 || len(s.cold) > 0 || len(s.limits.byLife) > 0 {
		return false
	}
	for i := range upstreams {
		if upstreams[i].Draining {
			return false
		}
	}
	return true
}
