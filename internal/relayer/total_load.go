package relayer

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/prioritiser"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

const (
	// _demandTimeConstant is the time constant of the request rates of a model.
	_demandTimeConstant = time.Second
	// _initialDuration is the assumed duration of requests before one has ended.
	_initialDuration = 500 * time.Millisecond
	// _minOffered is the work, in slots, below which a priority counts as not asked for.
	_minOffered = 1e-4
	// _totalLoadLifetime is the age up to which the total load, the load of all
	// processes, is used.
	_totalLoadLifetime = 1500 * time.Millisecond
	// _exchangeInterval is the time between two updates of the total load: one round of
	// exchange and the detour through the process that adds up the loads.
	_exchangeInterval = 300 * time.Millisecond
	// _durationSmoothing divides the difference between the duration of the newest
	// request and the moving average before it is added to the average.
	_durationSmoothing = 8
)

// Priorities of sends at an upstream; 0 is served first.
const (
	_priorityResumed   = 2
	_priorityUsual     = 5
	_priorityReturning = 7
)

// modelState is the state that all requests for one model of a service share.
type modelState struct {
	admitter admitter.Admitter
	// arrivals counts all requests, and completions the admitted ones that have ended.
	arrivals    rateMeter
	completions rateMeter
	// priorities counts the requests of each priority.
	priorities [prioritiser.Priorities]priorityState
	// returning counts the admitted requests that were refused before and wait for
	// their first event.
	returning atomic.Int64
	// meanDuration is the moving average of the time from the start of a request to
	// its end, in ns; 0 before the first one ended.
	meanDuration atomic.Int64
}

// priorityState is the state of the requests of one priority.
type priorityState struct {
	arrivals     rateMeter
	meanDuration atomic.Int64 // as in modelState
}

// countArrival counts a request that arrives.
func (m *modelState) countArrival(priority int, now time.Time) {
	m.arrivals.count(now)
	m.priorities[priority].arrivals.count(now)
}

// offered returns the work that callers ask for by priority.
func (m *modelState) offered(now time.Time) prioritiser.Demand {
	var out prioritiser.Demand
	for p := range m.priorities {
		x := &m.priorities[p]
		duration := time.Duration(cmp.Or(x.meanDuration.Load(), m.meanDuration.Load(), int64(_initialDuration)))
		if work := x.arrivals.rate(now) * duration.Seconds(); work >= _minOffered {
			out[p] = work
		}
	}
	return out
}

// recordEnd counts the end of an admitted request and adds its duration to the
// average.
func (m *modelState) recordEnd(priority int, began, now time.Time) {
	m.completions.count(now)
	average(&m.meanDuration, now.Sub(began))
	average(&m.priorities[priority].meanDuration, now.Sub(began))
}

// average adds a duration to a moving average.
func average(mean *atomic.Int64, d time.Duration) {
	took, before := int64(d), mean.Load()
	if before > 0 {
		took = before + (took-before)/_durationSmoothing
	}
	// Load and Store are not atomic together: of two requests that end at the same
	// time, one may be missing from the average.
	mean.Store(max(took, 1))
}

func newModelState() *modelState {
	m := &modelState{
		arrivals: rateMeter{timeConstant: _demandTimeConstant}, completions: rateMeter{timeConstant: _demandTimeConstant},
	}
	for p := range m.priorities {
		m.priorities[p].arrivals.timeConstant = _demandTimeConstant
	}
	return m
}

// OwnLoad returns the load of this process.
func (s *Relayer) OwnLoad() sharer.Load {
	now := time.Now()
	out := sharer.Load{
		InFlight: s.Balancer.InFlightByUpstream(), Activity: s.Balancer.Activity(now),
		Demand: make(map[sharer.ModelKey]sharer.Demand), SilentHeads: make(map[sharer.SilentHead]int),
		Evidence: s.shareEvidence(now), Departures: s.Screener.RecentDepartures(now), Limits: s.Screener.OwnLimits(now),
	}
	for id, epoch := range s.Balancer.SilentEpochs(now) {
		out.SilentHeads[sharer.SilentHead{Upstream: id, Epoch: epoch}] = 1
	}
	s.models.Range(func(key, value any) bool {
		m := value.(*modelState)
		d := sharer.Demand{ArrivalRate: m.arrivals.rate(now), CompletionRate: m.completions.rate(now), Returning: int(m.returning.Load()), Offered: m.offered(now)}
		out.Demand[key.(sharer.ModelKey)] = d
		return true
	})
	return out
}

// SetTotalLoad sets the load of all processes, and reports the upstreams that other
// processes found silent to the balancer and to Watchdog.OnSilence.
func (s *Relayer) SetTotalLoad(total sharer.TotalLoad) {
	s.totalLoad.Store(&total)
	others := make(map[string]int, len(total.InFlight))
	for id, n := range total.InFlight {
		others[id] = max(n-total.OwnLoad.InFlight[id], 0)
	}
	s.Balancer.SetPeerLoads(others)
	activity := make(map[string]time.Time, len(total.Activity))
	for id, since := range total.Activity {
		activity[id] = total.At.Add(-since)
	}
	s.Balancer.SetPeerActivity(activity)
	s.Balancer.SetUnanswered(total.UnansweredDataCentres)
	now := time.Now()
	s.receiveEvidence(total.Evidence, now)
	s.receiveDepartures(total.Departures, now.Sub(total.At), now)
	s.receiveLimits(total.Limits, now.Sub(total.At), now)
	for head, n := range total.SilentHeads {
		if n <= total.OwnLoad.SilentHeads[head] || !s.Balancer.MarkSilentByPeer(head.Upstream, head.Epoch, now) {
			continue
		}
		s.Log.Event("upstream-silent", logger.Fields{"upstream": head.Upstream, "epoch": head.Epoch, "processes": n, "crowd_age_ms": now.Sub(total.At).Milliseconds()})
		if s.Watchdog.OnSilence != nil {
			s.Watchdog.OnSilence(head.Upstream)
		}
	}
}

// freshTotalLoad returns the total load, or nil if it is unknown or older than
// _totalLoadLifetime.
func (s *Relayer) freshTotalLoad(now time.Time) *sharer.TotalLoad {
	total := s.totalLoad.Load()
	if total == nil || now.Sub(total.At) > _totalLoadLifetime {
		return nil
	}
	return total
}

// ExpireTotalLoad removes the loads of the other processes from the balancer if the
// total load is unknown or too old. This process then goes by its own evidence of prompts
// that crash upstreams.
func (s *Relayer) ExpireTotalLoad(now time.Time) {
	if s.freshTotalLoad(now) == nil {
		s.Balancer.SetPeerLoads(nil)
		s.Balancer.SetUnanswered(nil)
		s.receiveEvidence(s.shareEvidence(now), now)
	}
}

// expectedArrivals returns how many requests for the same model all processes will
// receive until they exchange their loads again; 0 if the total load is not known.
func (c *call) expectedArrivals(now time.Time) float64 {
	totalLoad := c.freshTotalLoad(now)
	if totalLoad == nil {
		return 0
	}
	return totalLoad.Demand[c.modelKey()].ArrivalRate * _exchangeInterval.Seconds()
}

// modelKey returns the request's service and model, the key of Relayer.models. Models that
// the service does not have share one key, since callers may name any number of them.
func (c *call) modelKey() sharer.ModelKey {
	if e := c.service.Engine; e != nil {
		if _, ok := e.Model(c.request.Model); ok {
			return sharer.ModelKey{Service: c.service.Name, Model: c.request.Model}
		}
	}
	return sharer.ModelKey{Service: c.service.Name}
}
