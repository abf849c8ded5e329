package grouper_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// deploymentShape is a deployment in which upstreams are lost and added all the time.
type deploymentShape struct {
	name                               string
	dataCentres, domains, domainSize   int // domains of each data centre, and upstreams of each domain
	large, small                       int // group sizes
	loadsPerSecond, maxConcurrentLoads int
	lostAtOnce                         int     // members of groups that are lost at the same moment, in one data centre
	replaced                           int     // upstreams that a release replaces
	largeDemand, smallDemand           float64 // groups that are needed at the peak of a wave
	target                             float64 // the least share of each model's demand to be served
}

// demandAt returns the part of the peak demand at a time after the start of traffic.
func demandAt(d time.Duration) float64 {
	const swing, period = 0.55, 17 * time.Second
	return (1 + swing*math.Sin(2*math.Pi*(d.Seconds()/period.Seconds()+0.1))) / (1 + swing)
}

// servedShares plays 34 s of traffic and returns the share of each model's demand that
// complete open groups could serve. Every three seconds members are lost for good in one
// data centre, and as many upstreams are added in another.
func servedShares(shape deploymentShape, seed uint64) (large, small float64) {
	const length, lossInterval = 34 * time.Second, 3 * time.Second
	random := rand.New(rand.NewPCG(seed, 5))
	s := newSimulation()
	s.engine.Models[0].GroupSize, s.engine.Models[1].GroupSize = shape.large, shape.small
	s.engine.Models[0].InitialShare, s.engine.Models[1].InitialShare = 0.5, 0.5
	s.engine.MaxLoadsPerSecond, s.engine.MaxConcurrentLoads = float64(shape.loadsPerSecond), shape.maxConcurrentLoads
	domain := func(c, n int) string { return fmt.Sprintf("c%d/d%d", c, n) }
	for c := range shape.dataCentres {
		for n := range shape.domains {
			s.add(domain(c, n), shape.domainSize)
		}
	}
	s.run(14 * time.Second)
	s.trafficStarted = true
	demand, served := make(map[string]float64), make(map[string]float64)
	for at := time.Duration(0); at < length; at += _step {
		if round := int(at / lossInterval); at%lossInterval == 0 && at > 0 {
			s.loseMembers(random, fmt.Sprintf("c%d", round%shape.dataCentres), shape.lostAtOnce)
			if at > 9*time.Second {
				c := (round + 1) % shape.dataCentres
				for range shape.lostAtOnce {
					s.add(domain(c, random.IntN(shape.domains)), 1)
				}
			}
		}
		if begin := 21 * time.Second; at >= begin && at < begin+8*time.Second && at%time.Second == 0 {
			s.replace(random, shape.replaced/8)
		}
		s.run(_step)
		for model, peak := range map[string]float64{"large": shape.largeDemand, "small": shape.smallDemand} {
			need := peak * demandAt(at)
			demand[model] += need
			served[model] += min(need, float64(s.openGroups(model, "")))
		}
	}
	return served["large"] / demand["large"], served["small"] / demand["small"]
}

// loseMembers makes members of open groups in a data centre end for good.
func (s *simulation) loseMembers(random *rand.Rand, dataCentre string, n int) {
	var members []*upstream
	for _, id := range s.ids {
		if u := s.upstreams[id]; !u.dead && u.DataCentre == dataCentre && !u.isSpare() {
			members = append(members, u)
		}
	}
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, u := range members[:min(n, len(members))] {
		u.dead = true
	}
}

// replace adds empty upstreams and drains as many others of the same domains.
func (s *simulation) replace(random *rand.Rand, n int) {
	ids := slices.Clone(s.ids)
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if u := s.upstreams[id]; n > 0 && !u.dead && !u.Draining {
			s.add(u.Domain, 1)
			u.Draining, u.drainsSince = true, s.now
			n--
		}
	}
}

// Members are lost every three seconds, as many upstreams are added, and in one case a
// release replaces a third of all: open groups can serve most of the demand for each
// model.
func TestModelsUnderLosses(t *testing.T) {
	shapes := []deploymentShape{
		{name: "66 upstreams", dataCentres: 3, domains: 2, domainSize: 11, large: 6, small: 3, loadsPerSecond: 5, maxConcurrentLoads: 8, lostAtOnce: 1, largeDemand: 4, smallDemand: 5, target: 0.8},
		{name: "162 upstreams", dataCentres: 3, domains: 2, domainSize: 27, large: 12, small: 6, loadsPerSecond: 14, maxConcurrentLoads: 20, lostAtOnce: 2, largeDemand: 5, smallDemand: 8, target: 0.9},
		{name: "162 upstreams, release", dataCentres: 3, domains: 2, domainSize: 27, large: 12, small: 6, loadsPerSecond: 14, maxConcurrentLoads: 20, lostAtOnce: 2, replaced: 48, largeDemand: 5, smallDemand: 8, target: 0.85},
		{name: "350 upstreams", dataCentres: 5, domains: 2, domainSize: 35, large: 16, small: 4, loadsPerSecond: 29, maxConcurrentLoads: 43, lostAtOnce: 3, replaced: 80, largeDemand: 7, smallDemand: 34, target: 0.85},
	}
	for _, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			const seeds = 3
			var large, small float64
			for seed := range uint64(seeds) {
				l, m := servedShares(shape, seed)
				large, small = large+l/seeds, small+m/seeds
			}
			t.Logf("served of the demand: large %.3f, small %.3f", large, small)
			assert.GreaterOrEqual(t, min(large, small), shape.target)
		})
	}
}
