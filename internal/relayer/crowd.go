package relayer

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
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
)

// gate is what requests for one model of a service share.
type gate struct {
	admitter admitter.Admitter
	asked    load
	ended    load
}

func newGate() *gate {
	return &gate{asked: load{memory: _demandMemory}, ended: load{memory: _demandMemory}}
}

// Own returns what this process has under way.
func (s *Relayer) Own() sharer.Load {
	now := time.Now()
	out := sharer.Load{InFlight: s.Balancer.All(), Demand: make(map[sharer.Place]sharer.Demand)}
	s.gates.Range(func(key, value any) bool {
		g := value.(*gate)
		d := sharer.Demand{Asked: g.asked.rate(now), Ended: g.ended.rate(now)}
		out.Demand[key.(sharer.Place)] = d
		return true
	})
	return out
}

// SetCrowd notes what all processes have under way.
func (s *Relayer) SetCrowd(c sharer.Crowd) {
	s.crowd.Store(&c)
	others := make(map[string]int, len(c.InFlight))
	for id, n := range c.InFlight {
		others[id] = max(n-c.Own.InFlight[id], 0)
	}
	s.Balancer.SetOthers(others)
}

// crowdNow returns what all processes have under way, or nil where that is not
// known or too old.
func (s *Relayer) crowdNow(now time.Time) *sharer.Crowd {
	c := s.crowd.Load()
	if c == nil || now.Sub(c.At) > _crowdFresh {
		return nil
	}
	return c
}

// ForgetCrowd drops what others have under way once that is too old.
func (s *Relayer) ForgetCrowd(now time.Time) {
	if s.crowdNow(now) == nil {
		s.Balancer.SetOthers(nil)
	}
}

// expected returns how many requests for the same model all processes send until
// loads are told anew.
func (c *call) expected(now time.Time) float64 {
	crowd := c.crowdNow(now)
	if crowd == nil {
		return 0
	}
	return crowd.Demand[c.place()].Asked * _toldEvery.Seconds()
}

func (c *call) place() sharer.Place {
	return sharer.Place{Service: c.service.Name, Model: c.request.Model}
}
