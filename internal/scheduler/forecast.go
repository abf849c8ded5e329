package scheduler

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

const (
	// _rateMemory is how far back the rate of places looks.
	_rateMemory = 2 * time.Second
	// _rateWarmUp is how long requests must have waited before the rate counts.
	_rateWarmUp = time.Second
	// _leastRetry is the shortest hint for a caller that is refused.
	_leastRetry = time.Second
	// _retrySpread is how much longer than the shortest the longest hint is, so
	// that refused callers don't come back together.
	_retrySpread = 2
	// _admitted is the part of the wait limit up to which a request is queued; the
	// rest is for the prompt and for the error of the forecast.
	_admitted = 0.8
)

// ErrOverloaded says that the forecast wait is too long, so that the request was
// refused at once.
var ErrOverloaded = errors.New("wait would be too long")

// RefusedError is a refusal with a hint when to try again.
type RefusedError struct {
	cause      error
	forecast   time.Duration
	retryAfter time.Duration
}

// Error says why, and how long the wait would have been.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: forecast wait %d ms", e.cause, e.forecast.Milliseconds())
}

// Unwrap returns ErrOverloaded, ErrBusy or ErrQueueFull.
func (e *RefusedError) Unwrap() error { return e.cause }

// RetryAfter returns when the caller should try again.
func (e *RefusedError) RetryAfter() time.Duration { return e.retryAfter }

// flow measures how many places are given in a second while requests wait.
type flow struct {
	since, last time.Time
	count       float64 // decayed
}

// rest notes that nothing waits.
func (f *flow) rest() { *f = flow{} }

// busy notes that requests wait, and how many got a place.
func (f *flow) busy(now time.Time, places int) {
	if f.since.IsZero() {
		f.since, f.last = now, now
	}
	f.count = f.count*math.Exp(-now.Sub(f.last).Seconds()/_rateMemory.Seconds()) + float64(places)
	f.last = now
}

// wait returns how long that many requests take, and false where it is too early
// to tell.
func (f *flow) wait(now time.Time, requests int) (time.Duration, bool) {
	busy := now.Sub(f.since)
	if f.since.IsZero() || busy < _rateWarmUp || f.count == 0 {
		return 0, false
	}
	// The part of the memory that the busy time has filled.
	seen := _rateMemory.Seconds() * (1 - math.Exp(-busy.Seconds()/_rateMemory.Seconds()))
	rate := f.count / seen
	return time.Duration(float64(requests) / rate * float64(time.Second)), true
}

// forecast returns the wait of one more request.
func (s *Scheduler) forecast(w *waiting, now time.Time) time.Duration {
	d, _ := s.flows[account(w.item.Long)].wait(now, s.queue.CountAhead(w.item))
	return d
}

// refusal returns the error of a refusal with a hint that grows with the queue
// and is spread over callers.
func (s *Scheduler) refusal(cause error, w *waiting, now time.Time) error {
	forecast := s.forecast(w, now)
	least := max(_leastRetry, forecast)
	part := router.UniformFloat(s.Router.Salt ^ s.lastID ^ w.item.ID<<32)
	return &RefusedError{cause: cause, forecast: forecast, retryAfter: least + time.Duration(_retrySpread*part*float64(least))}
}

// account is the index of the short or long account.
func account(long bool) int {
	if long {
		return 1
	}
	return 0
}
