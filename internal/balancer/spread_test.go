package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Many processes that are told the same loads fill the upstreams evenly between
// two tellings, instead of sending everything to the least loaded one.
func TestSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []cataloguer.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	told := map[string]int{"a": 20, "b": 24, "c": 40}
	const processes = 60
	got := make(map[string]int)
	for range processes {
		var b balancer.Balancer
		b.SetPeerLoads(told)
		u, reason := b.Acquire(candidates, balancer.Query{Now: time.Unix(1, 0), ExpectedRequests: processes, Random: random.Float64()})
		assert.Empty(t, reason)
		got[u.ID]++
	}
	// 60 more make 48 at each.
	assert.InDelta(t, 28, got["a"], 8)
	assert.InDelta(t, 24, got["b"], 8)
	assert.InDelta(t, 8, got["c"], 6)
}

// Without being told, the least loaded upstream of this process alone counts.
func TestLeast(t *testing.T) {
	candidates := []cataloguer.Upstream{{ID: "a"}, {ID: "b"}}
	var b balancer.Balancer
	for range 6 {
		_, _ = b.Acquire(candidates, balancer.Query{Now: time.Unix(1, 0), Random: 0.9})
	}
	assert.Equal(t, map[string]int{"a": 3, "b": 3}, b.InFlightByUpstream())
}
