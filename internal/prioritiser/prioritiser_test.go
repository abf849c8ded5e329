package prioritiser_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/prioritiser"
)

func TestFraction(t *testing.T) {
	testCases := []struct {
		name   string
		demand prioritiser.Demand
		served float64
		want   []float64
	}{
		{name: "unknown demand", served: 0.6, want: []float64{0.6, 0.6}},
		{name: "one priority", demand: prioritiser.Demand{0, 100}, served: 0.6, want: []float64{1, 0.6}},
		{name: "room for all", demand: prioritiser.Demand{50, 50}, served: 1, want: []float64{1, 1}},
		{name: "the most urgent first", demand: prioritiser.Demand{50, 50}, served: 0.8, want: []float64{1, 0.6}},
		{name: "the less urgent keep a floor", demand: prioritiser.Demand{90, 10}, served: 0.5, want: []float64{0.5 + 0.25/9, 0.25}},
		{name: "little of the less urgent", demand: prioritiser.Demand{50, 1, 49}, served: 0.6, want: []float64{0.9, 0.3, 0.3}},
		{name: "three priorities", demand: prioritiser.Demand{20, 40, 40}, served: 0.7, want: []float64{1, 0.9, 0.35}},
		{name: "nothing can be served", demand: prioritiser.Demand{50, 50}, served: 0, want: []float64{0, 0}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			for p, want := range tc.want {
				if tc.demand != (prioritiser.Demand{}) && tc.demand[p] == 0 {
					continue
				}
				assert.InDelta(t, want, tc.demand.Fraction(tc.served, p), 1e-9, "priority %d", p)
			}
		})
	}
}

// Whatever the demand, the work admitted is what can be served, no priority gets a smaller
// part than a less urgent one, and each keeps its floor.
func TestFractionsOfAnyDemand(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for range 10_000 {
		var d prioritiser.Demand
		total := 0.0
		for p := range d {
			if random.IntN(2) == 0 {
				d[p] = random.ExpFloat64() * 50
				total += d[p]
			}
		}
		served := random.Float64()
		admitted, before := 0.0, 1.0
		for p, work := range d {
			if work == 0 {
				continue
			}
			f := d.Fraction(served, p)
			assert.LessOrEqual(t, f, before+1e-9)
			assert.GreaterOrEqual(t, f, served/2-1e-9)
			admitted += f * work
			before = f
		}
		assert.InDelta(t, served*total, admitted, 1e-6)
	}
}

func TestClass(t *testing.T) {
	assert.Equal(t, 0, prioritiser.Class(-3))
	assert.Equal(t, 4, prioritiser.Class(4))
	assert.Equal(t, prioritiser.Priorities-1, prioritiser.Class(1000))
	assert.True(t, prioritiser.Demand{1}.HasMoreUrgent(1))
	assert.False(t, prioritiser.Demand{1}.HasMoreUrgent(0))
	assert.False(t, prioritiser.Demand{}.HasMoreUrgent(9))
}
