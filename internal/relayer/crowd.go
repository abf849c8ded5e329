package relayer

import (
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

const (
	// _demandMemory is the time over which the demand for a model fades.
	_demandMemory = time.Second
	// _crowdFresh is how long what all processes have under way is used.
	_crowdFresh = 1500 * time.Millisecond
	// _toldEvery is the time in which loads are told anew, that of a round and of
	// its way over a gatherer.
	_toldEvery = 300 * time.Millisecond
	// _spentParts is the weight of all earlier requests to that of the newest in the
	// usual time of a request.
	_spentParts = 8
	// _wholePart is the part of the longest time that callers wait from which one is
	// taken to come for the first time.
	_wholePart = 0.97
)

// Ranks of sends at an upstream; 0 is served first.
const (
	_rankResumed = 2
	_rankUsual   = 5
	_rankLate    = 7
)

// gate is what requests for one model of a service share.
type gate struct {
	admitter admitter.Admitter
	asked    load
	ended    load
	// late counts the requests that came back and wait for their first event.
	late atomic.Int64
	// spent is the usual time from the start of a request to its end, in ns; 0 before
	// the first.
	spent atomic.Int64
	// longest is the longest time that a caller was willing to wait, in ns.
	longest atomic.Int64
}

// over notes the end of a request that was let in.
func (g *gate) over(began, now time.Time) {
	g.ended.count(now)
	took, usual := int64(now.Sub(began)), g.spent.Load()
	if usual > 0 {
		took = usual + (took-usual)/_spentParts
	}
	// Of two that end at once, one may go unnoticed.
	g.spent.Store(max(took, 1))
}

// returning says that a caller who waits for left has waited before: its client
// was refused and has come back with what is left of its time.
func (g *gate) returning(left time.Duration) bool {
	longest := g.longest.Load()
	for int64(left) > longest && !g.longest.CompareAndSwap(longest, int64(left)) {
		longest = g.longest.Load()
	}
	return float64(left) < _wholePart*float64(longest)
}

func newGate() *gate {
	return &gate{asked: load{memory: _demandMemory}, ended: load{memory: _demandMemory}}
}

// Own returns what this process has under way.
func (s *Relayer) Own() sharer.Load {
	now := time.Now()
	out := sharer.Load{InFlight: s.Balancer.InFlightByUpstream(), Demand: make(map[sharer.ModelKey]sharer.Demand), SilentHeads: make(map[sharer.SilentHead]int)}
	for id, epoch := range s.Balancer.SilentEpochs(now) {
		out.SilentHeads[sharer.SilentHead{Upstream: id, Epoch: epoch}] = 1
	}
	s.gates.Range(func(key, value any) bool {
		g := value.(*gate)
		d := sharer.Demand{ArrivalRate: g.asked.rate(now), CompletionRate: g.ended.rate(now), Retrying: int(g.late.Load())}
		out.Demand[key.(sharer.ModelKey)] = d
		return true
	})
	return out
}

// SetCrowd notes what all processes have under way.
func (s *Relayer) SetCrowd(c sharer.TotalLoad) {
	s.crowd.Store(&c)
	others := make(map[string]int, len(c.InFlight))
	for id, n := range c.InFlight {
		others[id] = max(n-c.OwnLoad.InFlight[id], 0)
	}
	s.Balancer.SetPeerLoads(others)
	now := time.Now()
	for x, n := range c.SilentHeads {
		if n <= c.OwnLoad.SilentHeads[x] || !s.Balancer.MarkSilentByPeer(x.Upstream, x.Epoch, now) {
			continue
		}
		s.Log.Event("upstream-silent", logger.Fields{"upstream": x.Upstream, "epoch": x.Epoch, "processes": n, "crowd_age_ms": now.Sub(c.At).Milliseconds()})
		if s.Watchdog.Suspect != nil {
			s.Watchdog.Suspect(x.Upstream)
		}
	}
}

// crowdNow returns what all processes have under way, or nil where that is not
// known or too old.
func (s *Relayer) crowdNow(now time.Time) *sharer.TotalLoad {
	c := s.crowd.Load()
	if c == nil || now.Sub(c.At) > _crowdFresh {
		return nil
	}
	return c
}

// ForgetCrowd drops what others have under way once that is too old.
func (s *Relayer) ForgetCrowd(now time.Time) {
	if s.crowdNow(now) == nil {
		s.Balancer.SetPeerLoads(nil)
	}
}

// expected returns how many requests for the same model all processes send until
// loads are told anew.
func (c *call) expected(now time.Time) float64 {
	crowd := c.crowdNow(now)
	if crowd == nil {
		return 0
	}
	return crowd.Demand[c.place()].ArrivalRate * _toldEvery.Seconds()
}

func (c *call) place() sharer.ModelKey {
	return sharer.ModelKey{Service: c.service.Name, Model: c.request.Model}
}
