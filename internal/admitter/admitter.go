package admitter

import (
	"math"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/prioritiser"
)

const (
	// _spareRequests is added to a process's share of the slots, in requests.
	_spareRequests = 1
	// _initialFactor is the limit of a process before any wait was observed, as a
	// multiple of its share of the slots.
	_initialFactor = 1.4
	// _minFactor and _maxFactor bound the limit of a process, as multiples of its
	// share of the slots.
	_minFactor = 1.0
	_maxFactor = 2.2
	// _slowFraction is the fraction of a route's latency target above which the wait
	// for a first event shows that the groups are full.
	_slowFraction = 0.8
	// _decreaseFactor multiplies the limit after a slow first event.
	_decreaseFactor = 0.95
	// _decreaseInterval is the shortest time between two decreases. The waits of
	// requests that were sent together are evidence of the same congestion and
	// must not lower the limit several times.
	_decreaseInterval = 100 * time.Millisecond
	// _increase is added to the limit, in requests, after a fast first event while
	// most of the limit is in use.
	_increase = 0.5
	// _usedFraction is the fraction of the limit that must be in flight before the
	// limit may increase.
	_usedFraction = 0.7
	// _targetUtilisation is the fraction of all slots to fill before requests are
	// refused. It is below 1 because groups never fill quite evenly.
	_targetUtilisation = 0.95
	// _lightUtilisation is the fraction of all slots in flight below which every
	// request is admitted: the slots do not fill up before the processes exchange
	// their loads again.
	_lightUtilisation = 0.5
	// _returningPerSlot is the number of returning requests per slot that may wait
	// for their first event. They get only the slots that other requests leave free,
	// and callers give up after two seconds.
	_returningPerSlot = 0.3
	// _settlingTime is the time in which admission brings the slots in use up or
	// down to _targetUtilisation.
	_settlingTime = 500 * time.Millisecond
	// _newestWaitWeight is the weight of the newest wait in the moving average.
	_newestWaitWeight = 0.3
	// _returningFactor multiplies the limit for returning requests.
	_returningFactor = 1.25
	// _fullCredit is the credit at which a request is admitted. It is below 1, since the
	// first request of a process with few should not be refused in any case.
	_fullCredit = 0.5
	// _returningFraction is the fraction of a route's timeout below which the time
	// that a caller still waits shows that its request is returning.
	_returningFraction = 0.93
)

// Capacity is how many requests the groups of a model can run, and the share of the
// callers that this process serves.
type Capacity struct {
	// Slots is the number of requests that all groups run at once.
	Slots int
	// CallerShare is the fraction of all callers that this process serves, from 0
	// to 1.
	CallerShare float64
}

// share returns this process's share of the slots, in requests. The spare request
// matters only to a small share: the fewer the callers, the more unevenly they
// arrive.
func (c Capacity) share() float64 {
	return float64(c.Slots)*c.CallerShare + _spareRequests
}

// TotalLoad is the load of one model over all processes, as of their latest
// exchange.
type TotalLoad struct {
	// InFlight is the number of requests at groups that answer, without those that
	// Returning counts.
	InFlight float64
	// Returning is the number of admitted returning requests that wait for their
	// first event. Groups serve them after other requests.
	Returning float64
	// ArrivalRate and CompletionRate are in requests per second. Refused requests
	// count as arrivals, not as completions.
	ArrivalRate, CompletionRate float64
	// Offered is the work that callers ask for by priority; zero if unknown.
	Offered prioritiser.Demand
	// MeanDuration is the moving average of the time from the start of a request to
	// its end; 0 if none has ended.
	MeanDuration time.Duration
}

// completionRate returns the estimated completions per second. The measured rate
// lags behind while the load grows, so it is at least the rate that the requests
// in flight and their mean duration imply.
func (l TotalLoad) completionRate() float64 {
	if l.MeanDuration <= 0 {
		return l.CompletionRate
	}
	return max(l.CompletionRate, l.InFlight/l.MeanDuration.Seconds())
}

// admittedFraction returns the fraction of the arriving requests to admit, from 0
// to 1, so that the slots fill up and no request has to wait for a slot.
func (l TotalLoad) admittedFraction(slots int) float64 {
	room := _targetUtilisation*float64(slots) - l.InFlight
	if l.ArrivalRate <= 0 || l.InFlight < _lightUtilisation*float64(slots) {
		return 1
	}
	return min(max((l.completionRate()+room/_settlingTime.Seconds())/l.ArrivalRate, 0), 1)
}

// Decision is whether a request is admitted, with the values that decided it.
type Decision struct {
	Admitted bool
	// InFlight is the number of requests that this process had in flight before the
	// decision.
	InFlight int
	// Limit is the bound that the decision compared with, in requests, without the
	// raise that Admit allows a returning request. It is 0 where AdmittedFraction
	// decided.
	Limit float64
	// AdmittedFraction is the fraction of the arriving requests of the same priority that is
	// admitted, and ServedFraction that of all priorities together; 0 where Admit decided. It does not apply to returning requests.
	AdmittedFraction, ServedFraction float64
	// TotalLoad is the load over all processes; zero where Admit decided.
	TotalLoad TotalLoad
	// Returning is true if the caller was refused before.
	Returning bool
}

// Admitter limits the requests of one process for one model. The zero value is
// ready for use. It is safe for concurrent use.
type Admitter struct {
	mu sync.Mutex
	// factor is the limit as a multiple of the process's share of the slots; 0 before
	// the first use.
	factor   float64
	inFlight int
	// decreasedAt is when the limit was last decreased.
	decreasedAt time.Time
	// credit grows by the admitted fraction with each arriving request of a priority. A
	// request that brings it to _fullCredit is admitted and takes 1 from it.
	credit [prioritiser.Priorities]float64
	// wait is the moving average of the waits for a first event; 0 before the first
	// one.
	wait time.Duration
}

// FirstEventWait returns the moving average of the waits for a first event; 0 if
// none was observed.
func (a *Admitter) FirstEventWait() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wait
}

// Admit decides by the limit of this process. It is used where the load of the
// other processes is not known. left is the time that the caller still waits,
// and timeout is the timeout of its route. An admitted request counts as in flight
// until Done is called.
func (a *Admitter) Admit(c Capacity, left, timeout time.Duration) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limit(c)
	d := Decision{InFlight: a.inFlight, Limit: limit, Returning: float64(left) < _returningFraction*float64(timeout)}
	if d.Returning {
		limit *= _returningFactor
	}
	d.Admitted = float64(a.inFlight) < math.Max(limit, 1)
	if d.Admitted {
		a.inFlight++
	}
	return d
}

// AdmitByTotalLoad decides by the load of all processes. A returning request waits
// behind the others for a slot that they leave free, so it is admitted unless too
// many returning requests wait already. An admitted request counts as in flight
// until Done is called.
//
// Where callers of several priorities ask for the model, the most urgent are admitted first.
func (a *Admitter) AdmitByTotalLoad(c Capacity, total TotalLoad, priority int, returning bool) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Decision{InFlight: a.inFlight, ServedFraction: total.admittedFraction(c.Slots), TotalLoad: total, Returning: returning}
	d.AdmittedFraction = total.Offered.Fraction(d.ServedFraction, priority)
	if returning {
		d.Limit = _returningPerSlot * float64(c.Slots)
		d.Admitted = total.Returning < d.Limit
		if d.Admitted {
			a.inFlight++
		}
		return d
	}
	credit := &a.credit[prioritiser.Class(priority)]
	*credit += d.AdmittedFraction
	// The sum of fractions that should add up to 1 may have a rounding error.
	const tolerance = 1e-9
	if *credit >= _fullCredit-tolerance {
		*credit = max(*credit-1, _fullCredit-1)
		a.inFlight++
		d.Admitted = true
	}
	return d
}

// limit returns how many requests may be in flight. The caller holds a.mu.
func (a *Admitter) limit(c Capacity) float64 {
	if a.factor == 0 {
		a.factor = _initialFactor
	}
	return a.factor * c.share()
}

// Done ends an admitted request, which no longer counts as in flight.
func (a *Admitter) Done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// ObserveFirstEvent adjusts the limit by the time that a request waited for its
// first event, compared with the latency target of its route. It must not be called
// for requests that were sent again or are returning.
func (a *Admitter) ObserveFirstEvent(now time.Time, c Capacity, wait, target time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wait += time.Duration(_newestWaitWeight * float64(wait-a.wait))
	limit := a.limit(c)
	switch {
	case target <= 0 || c.Slots == 0:
		return
	case float64(wait) > _slowFraction*float64(target):
		if now.Sub(a.decreasedAt) >= _decreaseInterval {
			a.factor, a.decreasedAt = math.Max(_minFactor, a.factor*_decreaseFactor), now
		}
	case float64(a.inFlight) >= _usedFraction*limit:
		a.factor = math.Min(_maxFactor, a.factor+_increase/c.share())
	}
}

// RetryAfter returns the time after which a refused caller should retry. The
// retries are spread over the time in which slots become free. The result is
// at most a third of left, the time that the caller still waits, since clients
// honour no longer delay. draw is a random number in [0, 1).
func RetryAfter(left time.Duration, draw float64) time.Duration {
	const (
		earliest = 300 * time.Millisecond
		latest   = 2 * time.Second
		divisor  = 3
		margin   = 20 * time.Millisecond
	)
	bound := min(latest, left/divisor-margin)
	if bound <= earliest {
		return max(bound, 0)
	}
	return earliest + time.Duration(draw*float64(bound-earliest))
}
