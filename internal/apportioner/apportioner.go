package apportioner

import (
	"math"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

const (
	// _minShare is the smallest share of the load that a model counts with, so that a
	// model without a known share gets groups too.
	_minShare = 0.01
	// _emptyCoverage is added to the number of groups, so that the gain of a model's first
	// group has a bound.
	_emptyCoverage = 0.05
	// _maxRounds bounds how often each domain is divided again after the others.
	_maxRounds = 4
	// _minGain is the smallest gain for which a division is replaced by another.
	_minGain = 1e-9
)

// Domain is a fabric domain in which groups can be formed.
type Domain struct {
	Name, DataCentre string
	// Free is the number of upstreams that may join new groups.
	Free int
	// Groups is the number of groups of each model that are complete or being formed, in
	// the order of the models.
	Groups []int
}

// Apportion returns the number of new groups of each model in each domain, in the order of
// the domains and of the models. It divides each domain so that the sum over all data
// centres and models of share*log(groups) is largest (proportional fairness): a model's
// first group counts more than another's third. The groups of a model that count for a
// data centre are the mean of those that lie in it and of its even part of all: each data
// centre gets groups of all models, which it needs when it is cut off from the others, and
// the total keeps to the shares where the numbers of single data centres are rounded.
//
// Domains with the same number of free upstreams have the same divisions, whose number
// grows with that of the models.
func Apportion(models []cataloguer.Model, domains []Domain) [][]int {
	s := newState(models, domains)
	out := make([][]int, len(domains))
	for i := range domains {
		out[i] = make([]int, len(models))
	}
	divisions := make(map[int][][]int)
	for range _maxRounds {
		changed := false
		for i, d := range domains {
			if _, ok := divisions[d.Free]; !ok {
				divisions[d.Free] = divide(models, d.Free)
			}
			changed = s.improve(d.DataCentre, divisions[d.Free], out[i]) || changed
		}
		if !changed {
			break
		}
	}
	return out
}

// Coverage returns how well the groups of a model serve its share of the load in a data
// centre, in upstreams for the whole load.
func Coverage(m cataloguer.Model, local, total, dataCentres int) float64 {
	return EffectiveGroups(local, total, dataCentres) * float64(m.GroupSize) / share(m)
}

// EffectiveGroups returns the number of a model's groups that count for a data centre, of
// which local lie in it.
func EffectiveGroups(local, total, dataCentres int) float64 {
	const sources = 2
	return (float64(local) + float64(total)/float64(max(dataCentres, 1))) / sources
}

func share(m cataloguer.Model) float64 { return max(m.InitialShare, _minShare) }

// state is the number of groups of each model, in each data centre and in all.
type state struct {
	models []cataloguer.Model
	// indexes holds the index of each data centre in local.
	indexes map[string]int
	local   [][]int
	total   []int
}

func newState(models []cataloguer.Model, domains []Domain) *state {
	s := &state{models: models, indexes: make(map[string]int), total: make([]int, len(models))}
	for _, d := range domains {
		if _, ok := s.indexes[d.DataCentre]; !ok {
			s.indexes[d.DataCentre] = len(s.local)
			s.local = append(s.local, make([]int, len(models)))
		}
		s.add(d.DataCentre, d.Groups, 1)
	}
	return s
}

// add adds factor times the groups to those of a data centre.
func (s *state) add(dataCentre string, groups []int, factor int) {
	local := s.local[s.indexes[dataCentre]]
	for i, n := range groups {
		local[i] += factor * n
		s.total[i] += factor * n
	}
}

// utility returns the value that Apportion makes largest.
func (s *state) utility() float64 {
	sum := 0.0
	for _, local := range s.local {
		for i, m := range s.models {
			sum += share(m) * math.Log(_emptyCoverage+EffectiveGroups(local[i], s.total[i], len(s.local)))
		}
	}
	return sum
}

// improve replaces the division of a domain by the best one, and reports whether it is
// another.
func (s *state) improve(dataCentre string, divisions [][]int, division []int) bool {
	best, bestUtility := -1, s.utility()+_minGain
	s.add(dataCentre, division, -1)
	for i, x := range divisions {
		s.add(dataCentre, x, 1)
		if u := s.utility(); u > bestUtility {
			best, bestUtility = i, u+_minGain
		}
		s.add(dataCentre, x, -1)
	}
	if best >= 0 {
		copy(division, divisions[best])
	}
	s.add(dataCentre, division, 1)
	return best >= 0
}

// divide returns the ways to divide free upstreams into groups that leave too few for
// another group of any model. Those with more groups of the first models come first.
func divide(models []cataloguer.Model, free int) [][]int {
	smallest := 0
	for _, m := range models {
		if m.GroupSize > 0 && (smallest == 0 || m.GroupSize < smallest) {
			smallest = m.GroupSize
		}
	}
	if smallest == 0 {
		return nil
	}
	var out [][]int
	division := make([]int, len(models))
	var extend func(i, left int)
	extend = func(i, left int) {
		if i == len(models) {
			if left < smallest {
				out = append(out, append([]int(nil), division...))
			}
			return
		}
		most := 0
		if size := models[i].GroupSize; size > 0 {
			most = left / size
		}
		for division[i] = most; division[i] > 0; division[i]-- {
			extend(i+1, left-division[i]*models[i].GroupSize)
		}
		extend(i+1, left)
	}
	extend(0, free)
	return out
}
