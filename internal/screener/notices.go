package screener

import (
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

const (
	// _departureLifetime is how long a departure is remembered. Upstreams leave within
	// seconds of announcing it, some within minutes.
	_departureLifetime = 15 * time.Minute
	// _absentLifetime is how long the departure of an upstream is remembered that the
	// platform's list no longer shows: an entry may be missing for a moment.
	_absentLifetime = time.Minute
	// _departureShareTime is how long a departure is told to other processes, which
	// remember it.
	_departureShareTime = 10 * time.Second
	// _maxDepartures is the largest number of departures that are remembered.
	_maxDepartures = 8192
	// _waitSpread is the fraction of a wait that is added to it at most, and
	// _maxWaitSpread the longest time added, so that the processes that an upstream asked
	// to wait don't all return at the same instant.
	_waitSpread    = 0.25
	_maxWaitSpread = time.Second
)

// Life identifies an upstream between two of its starts.
type Life struct {
	Upstream string
	// StartedMs is when the upstream started, in Unix milliseconds; 0 if unknown.
	StartedMs int64
}

// LifeOf returns the present life of an upstream.
func LifeOf(u *cataloguer.Upstream) Life { return Life{u.ID, u.StartedMs} }

// departure is the evidence that an upstream is leaving.
type departure struct {
	source Source
	since  time.Time
}

// departures holds the upstreams that announced in a response that they are leaving.
type departures struct {
	byLife map[Life]departure
}

func (d *departures) find(u *cataloguer.Upstream) (departure, bool) {
	if len(d.byLife) == 0 {
		return departure{}, false
	}
	x, ok := d.byLife[LifeOf(u)]
	return x, ok
}

// record records a departure and reports whether it is new.
func (d *departures) record(life Life, source Source, now time.Time) bool {
	if x, ok := d.byLife[life]; ok {
		if x.source == SourcePeer && source == SourceResponse {
			// The other processes are told what this one saw itself.
			d.byLife[life] = departure{source, now}
		}
		return false
	}
	if d.byLife == nil {
		d.byLife = make(map[Life]departure)
	}
	if len(d.byLife) >= _maxDepartures {
		d.dropOldest()
	}
	d.byLife[life] = departure{source, now}
	return true
}

func (d *departures) dropOldest() {
	var oldest Life
	var at time.Time
	for life, x := range d.byLife {
		if at.IsZero() || x.since.Before(at) {
			oldest, at = life, x.since
		}
	}
	delete(d.byLife, oldest)
}

// prune removes the departures of upstreams that have left or started again.
func (d *departures) prune(f *cataloguer.Fleet, now time.Time) {
	maps.DeleteFunc(d.byLife, func(life Life, x departure) bool {
		age := now.Sub(x.since)
		u, ok := f.Upstreams[life.Upstream]
		if !ok {
			return age >= _absentLifetime
		}
		return u.StartedMs > life.StartedMs || age >= _departureLifetime
	})
}

// HasDepartures reports whether any upstream has announced in a response that it is leaving.
func (s *Screener) HasDepartures() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.departures.byLife) > 0
}

// RecordLeaving records that an upstream is leaving, and reports whether that is new.
func (s *Screener) RecordLeaving(life Life, source Source, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.departures.record(life, source, now)
}

// RecentDepartures returns the upstreams that told this process itself lately that they
// are leaving.
func (s *Screener) RecentDepartures(now time.Time) map[Life]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Life]bool)
	for life, x := range s.departures.byLife {
		if x.source == SourceResponse && now.Sub(x.since) < _departureShareTime {
			out[life] = true
		}
	}
	return out
}

// wait is a time in which an upstream wants no requests of this process.
type wait struct {
	life         Life
	since, until time.Time
}

// RecordWait records that an upstream asked this process to wait for the given time, and
// returns how long it waits. random is a random number in [0, 1).
func (s *Screener) RecordWait(u *cataloguer.Upstream, d time.Duration, random float64, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d += time.Duration(random * float64(min(time.Duration(_waitSpread*float64(d)), _maxWaitSpread)))
	until := now.Add(d)
	w, ok := s.waits[u.ID]
	if !ok || w.life != LifeOf(u) || !now.Before(w.until) {
		w = wait{life: LifeOf(u), since: now}
	}
	if s.waits == nil {
		s.waits = make(map[string]wait)
	}
	if until.After(w.until) {
		w.until = until
	}
	s.waits[u.ID] = w
	return w.until.Sub(now)
}
