package scheduler

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

const (
	// _rateTimeConstant is the time constant over which the measured rate of
	// assigned slots decays.
	_rateTimeConstant = 2 * time.Second
	// _rateWarmUp is how long requests must have waited before the measured rate
	// is used.
	_rateWarmUp = time.Second
	// _minRetryAfter is the shortest retry hint for a refused caller.
	_minRetryAfter = time.Second
	// _retrySpread is the width of the range of retry hints, as a multiple of the
	// shortest one; spread hints keep refused callers from returning at the same
	// time.
	_retrySpread = 2
	// _maxForecastShare is the fraction of the wait limit that the forecast wait
	// may take; the rest is kept for processing the prompt and for the error of
	// the forecast.
	_maxForecastShare = 0.8
)

// ErrOverloaded says that a request was refused on arrival because its forecast
// wait is too long.
var ErrOverloaded = errors.New("wait would be too long")

// RefusedError is a refusal with a hint when to retry.
type RefusedError struct {
	cause      error
	forecast   time.Duration
	retryAfter time.Duration
}

// Error returns the cause and the forecast wait.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: forecast wait %d ms", e.cause, e.forecast.Milliseconds())
}

// Unwrap returns ErrOverloaded, ErrBusy or ErrQueueFull.
func (e *RefusedError) Unwrap() error { return e.cause }

// RetryAfter returns how long the caller should wait before it retries.
func (e *RefusedError) RetryAfter() time.Duration { return e.retryAfter }

// throughput measures the rate at which slots are assigned while requests wait.
type throughput struct {
	// since is when requests began to wait, zero if none waits; last is when
	// count was updated.
	since, last time.Time
	count       float64 // slots assigned, decayed exponentially
}

// reset clears the measurement when no request waits.
func (t *throughput) reset() { *t = throughput{} }

// observe adds the number of slots assigned by a scheduling pass after which
// requests still wait.
func (t *throughput) observe(now time.Time, slots int) {
	if t.since.IsZero() {
		t.since, t.last = now, now
	}
	t.count = t.count*math.Exp(-now.Sub(t.last).Seconds()/_rateTimeConstant.Seconds()) + float64(slots)
	t.last = now
}

// forecast returns how long it takes to assign slots to that many requests. It
// returns false when there is too little data.
func (t *throughput) forecast(now time.Time, requests int) (time.Duration, bool) {
	busy := now.Sub(t.since)
	if t.since.IsZero() || busy < _rateWarmUp || t.count == 0 {
		return 0, false
	}
	// window is the effective length in seconds of the decayed count. It grows
	// with the busy period up to _rateTimeConstant.
	window := _rateTimeConstant.Seconds() * (1 - math.Exp(-busy.Seconds()/_rateTimeConstant.Seconds()))
	rate := t.count / window
	return time.Duration(float64(requests) / rate * float64(time.Second)), true
}

// forecastWait returns the expected wait of one more request; 0 when there is too
// little data.
func (s *Scheduler) forecastWait(w *waitingRequest, now time.Time) time.Duration {
	d, _ := s.throughputs[lengthIndex(w.item.Long)].forecast(now, s.queue.CountAhead(w.item))
	return d
}

// newRefusedError returns a RefusedError whose retry hint grows with the queue and
// differs between requests.
func (s *Scheduler) newRefusedError(cause error, w *waitingRequest, now time.Time) error {
	forecast := s.forecastWait(w, now)
	least := max(_minRetryAfter, forecast)
	fraction := router.UniformFloat(s.Router.Salt ^ s.lastID ^ w.item.ID<<32)
	return &RefusedError{cause: cause, forecast: forecast, retryAfter: least + time.Duration(_retrySpread*fraction*float64(least))}
}

// lengthIndex returns the index of short (0) or long (1) requests in per-length
// arrays.
func lengthIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}
