package screener

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

const (
	// _spareLimitSenders is the number of senders beyond one for each request per second of
	// the limit: some may have failed or have no callers.
	_spareLimitSenders = 3
	_maxLimitSenders   = 16
	// _sendTolerance is the fraction of the interval between two requests by which a
	// sender that was late may send the next ones early, and _minSendTolerance the shortest
	// such time: requests don't arrive evenly.
	_sendTolerance    = 0.25
	_minSendTolerance = 200 * time.Millisecond
	// _maxSendInterval is the longest interval between two requests of a sender. An
	// upstream that takes no requests gets some, so that the end of its limit is noticed.
	_maxSendInterval = 30 * time.Second
)

// interval returns the time between two requests of one of count senders.
func (l *limit) interval(count int) time.Duration {
	if l.rate*_maxSendInterval.Seconds() <= float64(count) {
		return _maxSendInterval
	}
	return time.Duration(float64(count) / l.rate * float64(time.Second))
}

// tolerance returns how much earlier than the interval says one of count senders may send.
func (l *limit) tolerance(count int) time.Duration {
	return max(time.Duration(_sendTolerance*float64(l.interval(count))), _minSendTolerance)
}

// senders returns the number of processes that send requests to the upstream, of count.
func (l *limit) senders(count int) int {
	if l.rate >= _maxLimitSenders-_spareLimitSenders {
		return min(count, _maxLimitSenders)
	}
	return min(count, int(l.rate)+_spareLimitSenders)
}

// scheduleFirstSend sets when this process may send its first request to an upstream whose limit
// has begun: the senders begin one after the other. The caller holds the lock.
func (s *Screener) scheduleFirstSend(life Life, change LimitChange, now time.Time) {
	if change != LimitBegun {
		return
	}
	x := s.limits.byLife[life]
	count := max(x.senders(s.senders.count()), 1)
	turn := float64(min(s.senders.rank(s.Name, life.Upstream), count-1)+1) / float64(count)
	interval := x.interval(count)
	x.intervalFrom = now.Add(-interval + time.Duration(turn*float64(interval)))
}

// limitedTurn reports whether this process is among the senders of a limited upstream, and
// from when it may send its next request to it. The caller holds the lock.
func (s *Screener) limitedTurn(u *cataloguer.Upstream, x *limit) (from time.Time, isSender bool) {
	count := x.senders(s.senders.count())
	if count == 0 || !s.senders.include(s.Name, u.ID, count) {
		return time.Time{}, false
	}
	from = x.intervalFrom.Add(x.interval(count))
	if from.Before(s.BoundedFrom) {
		from = s.BoundedFrom
	}
	return from, true
}

// delayNewSenders lets this process begin only an interval later to send to those limited
// upstreams of which it was no sender before the list of processes changed: the senders
// before it may have sent just now. wasSender reports whether it was. The caller holds the
// lock.
func (s *Screener) delayNewSenders(wasSender map[Life]bool, now time.Time) {
	for life, x := range s.limits.byLife {
		if x.isInForce(now) && !wasSender[life] {
			x.intervalFrom = now
		}
	}
}

// sending returns the limited upstreams of which this process is a sender. The caller holds
// the lock.
func (s *Screener) sending(now time.Time) map[Life]bool {
	out := make(map[Life]bool)
	for life, x := range s.limits.byLife {
		if x.isInForce(now) && s.senders.include(s.Name, life.Upstream, x.senders(s.senders.count())) {
			out[life] = true
		}
	}
	return out
}

// takeLimited counts a request to a limited upstream, and reports whether it may be sent.
// The caller holds the lock.
func (s *Screener) takeLimited(u *cataloguer.Upstream, x *limit, now time.Time) bool {
	from, isSender := s.limitedTurn(u, x)
	if !isSender || now.Before(from) {
		return false
	}
	x.intervalFrom = from
	if earliest := now.Add(-x.tolerance(x.senders(s.senders.count()))); x.intervalFrom.Before(earliest) {
		x.intervalFrom = earliest
	}
	return true
}
