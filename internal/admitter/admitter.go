package admitter

import (
	"math"
	"sync"
	"time"
)

const (
	// _spare is added to each share, in requests.
	_spare = 1
	// _headroom is how much more than its share of the places a process may use at
	// first.
	_headroom = 1.4
	// _least and _most bound what a process may use, in shares.
	_least = 1.0
	_most  = 2.2
	// _slowPart is the part of a route's target above which a wait for the first
	// event shows that the groups are full.
	_slowPart = 0.8
	// _shrink is the factor on the limit after a slow first event.
	_shrink = 0.95
	// _shrinkEvery is the shortest time between two of them: the waits of requests
	// that were sent together say one thing.
	_shrinkEvery = 100 * time.Millisecond
	// _growth is added to the limit, in requests, after a quick first event while
	// most of the limit is used.
	_growth = 0.5
	// _usedPart is the part of the limit from which it counts as used.
	_usedPart = 0.7
	// _filled is the part of all places that is filled before requests are refused;
	// groups are never filled quite evenly.
	_filled = 0.95
	// _light is the part of all places below which every request is let in: they do
	// not fill up before loads are told anew.
	_light = 0.5
	// _lateQueue is how many requests that came back may wait, for each place. They
	// get what others leave; callers give up after two seconds.
	_lateQueue = 0.3
	// _settling is the time in which the places are filled or emptied to that.
	_settling = 500 * time.Millisecond
	// _newest is the weight of the newest wait in the usual one.
	_newest = 0.3
	// _returnBonus is how much further a caller that was refused before may go.
	_returnBonus = 1.25
	// _returnPart is the part of a route's time below which a caller's deadline
	// shows that it has waited already.
	_returnPart = 0.93
)

// Capacity are what the groups of a model offer to all processes.
type Capacity struct {
	// Slots is the number of requests that all groups run at once.
	Slots int
	// CallerShare is this process's part of all callers, from 0 to 1.
	CallerShare float64
}

// share is a process's own share, in requests. A small one is rounded up a
// little, since few callers come unevenly.
func (p Capacity) share() float64 {
	return float64(p.Slots)*p.CallerShare + _spare
}

// TotalLoad is what all processes have under way for a model, as last told.
type TotalLoad struct {
	// InFlight is the number of requests at the groups that answer, without those
	// that are late.
	InFlight float64
	// ReturningWaiting is the number of requests that came back after a refusal and wait for
	// their first event. They wait behind the others.
	ReturningWaiting float64
	// ArrivalRate and CompletionRate are the requests that come and end, a second; those that are
	// refused come, and do not end.
	ArrivalRate, CompletionRate float64
	// MeanDuration is the usual time from the start of a request to its end; 0 where none
	// has ended.
	MeanDuration time.Duration
}

// ending returns the requests that end, a second. While more and more come, those
// that ended lately say too little.
func (c TotalLoad) ending() float64 {
	if c.MeanDuration <= 0 {
		return c.CompletionRate
	}
	return max(c.CompletionRate, c.InFlight/c.MeanDuration.Seconds())
}

// part returns the part of the requests to let in, so that the places are full and
// nobody waits for one.
func (c TotalLoad) part(slots int) float64 {
	room := _filled*float64(slots) - c.InFlight
	if c.ArrivalRate <= 0 || c.InFlight < _light*float64(slots) {
		return 1
	}
	return min(max((c.ending()+room/_settling.Seconds())/c.ArrivalRate, 0), 1)
}

// Decision is whether a request may be sent, with what decided it.
type Decision struct {
	Admitted bool
	InFlight int
	Limit    float64
	// AdmittedFraction is the part of all requests that is let in; 0 where a limit decides.
	AdmittedFraction float64
	// TotalLoad is what all processes have under way, where that was known.
	TotalLoad TotalLoad
	// Returning says that the caller was refused before.
	Returning bool
}

// Admitter keeps the limit of one model at one process. The zero value is ready
// for use. It is safe for concurrent use.
type Admitter struct {
	mu sync.Mutex
	// factor is the limit in shares; 0 before the first use.
	factor   float64
	inFlight int
	shrunk   time.Time
	// credit grows with each request by the part that is let in; a request that
	// fills it up to one is let in and takes it away.
	credit float64
	// wait is the usual wait for a first event; 0 before the first one.
	wait time.Duration
}

// FirstEventWait returns the usual wait for a first event, as of late; 0 where none was seen.
func (a *Admitter) FirstEventWait() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wait
}

// Admit decides on a request whose caller waits for left of the route's time
// all. An admitted request counts as in flight until Done.
func (a *Admitter) Admit(p Capacity, left, all time.Duration) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limit(p)
	d := Decision{InFlight: a.inFlight, Limit: limit, Returning: float64(left) < _returnPart*float64(all)}
	if d.Returning {
		limit *= _returnBonus
	}
	d.Admitted = float64(a.inFlight) < math.Max(limit, 1)
	if d.Admitted {
		a.inFlight++
	}
	return d
}

// AdmitByTotalLoad decides on a request where it is known what all processes have under
// way. One that comes back after a refusal is late in any case: it waits behind
// the others for a place that they leave, unless too many wait there already. An
// admitted request counts as in flight until Done.
func (a *Admitter) AdmitByTotalLoad(p Capacity, c TotalLoad, returning bool) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Decision{InFlight: a.inFlight, AdmittedFraction: c.part(p.Slots), TotalLoad: c, Returning: returning}
	if returning {
		d.Limit = _lateQueue * float64(p.Slots)
		d.Admitted = c.ReturningWaiting < d.Limit
		if d.Admitted {
			a.inFlight++
		}
		return d
	}
	a.credit += d.AdmittedFraction
	// The sum of many parts that should be one may fall short of it by a rounding.
	const rounding = 1e-9
	if a.credit >= 1-rounding {
		a.credit = max(a.credit-1, 0)
		a.inFlight++
		d.Admitted = true
	}
	return d
}

// limit is how many requests may be in flight; the lock is held.
func (a *Admitter) limit(p Capacity) float64 {
	if a.factor == 0 {
		a.factor = _headroom
	}
	return a.factor * p.share()
}

// Done takes a request out of those in flight.
func (a *Admitter) Done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// ObserveFirstEvent notes how long a request that was sent undisturbed waited for its first
// event, against its route's target.
func (a *Admitter) ObserveFirstEvent(now time.Time, p Capacity, wait, target time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wait += time.Duration(_newest * float64(wait-a.wait))
	limit := a.limit(p)
	switch {
	case target <= 0 || p.Slots == 0:
		return
	case float64(wait) > _slowPart*float64(target):
		if now.Sub(a.shrunk) >= _shrinkEvery {
			a.factor, a.shrunk = math.Max(_least, a.factor*_shrink), now
		}
	case float64(a.inFlight) >= _usedPart*limit:
		a.factor = math.Min(_most, a.factor+_growth/p.share())
	}
}

// RetryAfter returns when a refused caller should come back: spread over the time
// in which places become free, within the third of its time that callers honour.
// draw is a random number from 0 up to 1.
func RetryAfter(left time.Duration, draw float64) time.Duration {
	const (
		earliest = 300 * time.Millisecond
		latest   = 2 * time.Second
		parts    = 3
		margin   = 20 * time.Millisecond
	)
	bound := min(latest, left/parts-margin)
	if bound <= earliest {
		return max(bound, 0)
	}
	return earliest + time.Duration(draw*float64(bound-earliest))
}
