package screener

import (
	"maps"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

const (
	// _limitLifetime is how long a limit holds after the newest evidence of it. It is a
	// multiple of _maxSendInterval, so that a sender that fails does not end it.
	_limitLifetime = time.Minute
	// _limitEndShareTime is how long the end of a limit is told to other processes.
	_limitEndShareTime = 10 * time.Second
	// _peerAgeError bounds the error of the age that a peer tells: the time of the message itself
	// is missing from it.
	_peerAgeError = 300 * time.Millisecond
	// _maxLimits is the largest number of limits that are remembered.
	_maxLimits = 8192
	// _limitChange is the change of a limit, as a fraction, that is reported.
	_limitChange = 0.1
)

// LimitNotice is evidence of the limit of an upstream: the requests per second that it takes
// from all processes together, or that it states none.
type LimitNotice struct {
	// Rate is in requests per second; it has no meaning if Ended is true.
	Rate  float64
	Ended bool
	// Age is the time since the evidence.
	Age time.Duration
}

// LimitChange is what a piece of evidence changes about the limit of an upstream.
type LimitChange int

// Changes of a limit. A change of a few per cent is not reported.
const (
	LimitUnchanged LimitChange = iota
	LimitBegun
	LimitChanged
	LimitEnded
)

// String returns the name of the change as logs show it.
func (c LimitChange) String() string {
	return [...]string{"unchanged", "begun", "changed", "ended"}[c]
}

// limit is the newest evidence of the limit of an upstream.
type limit struct {
	rate   float64
	ended  bool
	source Source
	// since is when the limit began or ended, and at the time of the newest evidence.
	since, at time.Time
	// reported is the rate that was last reported as begun or changed.
	reported float64
	// intervalFrom is the time from which the interval until this process's next request is
	// measured.
	intervalFrom time.Time
}

func (l *limit) isInForce(now time.Time) bool {
	return !l.ended && now.Sub(l.at) < _limitLifetime
}

// limits holds the evidence of upstreams that state a limit, or did lately.
type limits struct {
	byLife map[Life]*limit
}

// find returns the limit of an upstream that is in force, or nil.
func (l *limits) find(u *cataloguer.Upstream, now time.Time) *limit {
	if len(l.byLife) == 0 {
		return nil
	}
	if x := l.byLife[LifeOf(u)]; x != nil && x.isInForce(now) {
		return x
	}
	return nil
}

// begin records a stated limit.
func (l *limits) begin(life Life, rate float64, source Source, at, now time.Time) LimitChange {
	x := l.byLife[life]
	if x == nil || !x.isInForce(now) {
		l.insert(life, &limit{rate: rate, source: source, since: now, at: at, reported: rate})
		return LimitBegun
	}
	x.rate, x.source, x.at = rate, source, at
	if difference := rate - x.reported; difference > _limitChange*x.reported || -difference > _limitChange*x.reported {
		x.reported = rate
		return LimitChanged
	}
	return LimitUnchanged
}

// end records that an upstream states no limit any more.
func (l *limits) end(life Life, source Source, at, now time.Time) LimitChange {
	x := l.byLife[life]
	if x == nil {
		return LimitUnchanged
	}
	wasInForce := x.isInForce(now)
	if wasInForce {
		x.since = now
	}
	x.ended, x.source, x.at = true, source, at
	if wasInForce {
		return LimitEnded
	}
	return LimitUnchanged
}

func (l *limits) insert(life Life, x *limit) {
	if l.byLife == nil {
		l.byLife = make(map[Life]*limit)
	}
	if _, ok := l.byLife[life]; !ok && len(l.byLife) >= _maxLimits {
		l.dropOldest()
	}
	l.byLife[life] = x
}

func (l *limits) dropOldest() {
	var oldest Life
	var at time.Time
	for life, x := range l.byLife {
		if at.IsZero() || x.at.Before(at) {
			oldest, at = life, x.at
		}
	}
	delete(l.byLife, oldest)
}

// RecordLimit records that an upstream stated a limit in a response to this process.
func (s *Screener) RecordLimit(life Life, rate float64, now time.Time) LimitChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.limits.begin(life, rate, SourceResponse, now, now)
	s.scheduleFirstSend(life, change, now)
	return change
}

// RecordNoLimit records that an upstream stated no limit in the response to a request of
// this process that was sent at the given time. A request that was sent before the newest
// evidence of a limit does not end it.
func (s *Screener) RecordNoLimit(life Life, sentAt, now time.Time) LimitChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.limits.byLife[life]
	if x == nil || !sentAt.After(x.at) || x.ended && now.Sub(x.since) >= _limitEndShareTime {
		return LimitUnchanged
	}
	return s.limits.end(life, SourceResponse, now, now)
}

// ReceiveLimit records what another process saw of an upstream's limit. Evidence that is not
// newer than that of this process changes nothing.
func (s *Screener) ReceiveLimit(life Life, n LimitNotice, now time.Time) LimitChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-n.Age)
	newest := time.Time{}
	if x := s.limits.byLife[life]; x != nil {
		newest = x.at
		if x.source == SourceResponse {
			newest = newest.Add(_peerAgeError)
		}
	}
	if !at.After(newest) || n.Age >= _limitLifetime {
		return LimitUnchanged
	}
	if n.Ended {
		return s.limits.end(life, SourcePeer, at, now)
	}
	change := s.limits.begin(life, n.Rate, SourcePeer, at, now)
	s.scheduleFirstSend(life, change, now)
	return change
}

// OwnLimits returns the limits, and the recent ends of limits, of which this process itself
// had the newest evidence.
func (s *Screener) OwnLimits(now time.Time) map[Life]LimitNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Life]LimitNotice)
	for life, x := range s.limits.byLife {
		isTold := x.isInForce(now) || x.ended && now.Sub(x.since) < _limitEndShareTime
		if x.source == SourceResponse && isTold {
			out[life] = LimitNotice{Rate: x.rate, Ended: x.ended, Age: now.Sub(x.at)}
		}
	}
	return out
}

// ForgetLimits removes the limits of upstreams that have started again, and those without
// recent evidence. It returns the limits that lapse, by upstream, with the age of the
// evidence.
func (s *Screener) ForgetLimits(f *cataloguer.Fleet, now time.Time) map[Life]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	lapsed := make(map[Life]time.Duration)
	maps.DeleteFunc(s.limits.byLife, func(life Life, x *limit) bool {
		u, listed := f.Upstreams[life.Upstream]
		isOld := now.Sub(x.at) >= _limitLifetime
		isOver := listed && u.StartedMs > life.StartedMs
		if (isOld || isOver) && !x.ended {
			lapsed[life] = now.Sub(x.at)
		}
		return isOld || isOver
	})
	return lapsed
}
