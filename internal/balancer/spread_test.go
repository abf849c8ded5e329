package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Many processes that know the same peer loads raise the upstreams to one level
// between two exchanges of loads, instead of sending everything to the least
// loaded upstream.
func TestAcquireWithPeerLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []cataloguer.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	peerLoads := map[string]int{"a": 20, "b": 24, "c": 40}
	const processes = 60
	got := make(map[string]int)
	for range processes {
		var b balancer.Balancer
		b.SetPeerLoads(peerLoads)
		u, reason := b.Acquire(candidates, balancer.Query{Now: time.Unix(1, 0), ExpectedRequests: processes, Random: random.Float64()})
		assert.Empty(t, reason)
		got[u.ID]++
	}
	// 20 + 24 + 40 in flight and 60 more make 48 at each upstream.
	assert.InDelta(t, 28, got["a"], 8)
	assert.InDelta(t, 24, got["b"], 8)
	assert.InDelta(t, 8, got["c"], 6)
}

// Without peer loads, requests go to the upstream where this process has the
// fewest in flight.
func TestAcquireWithoutPeerLoads(t *testing.T) {
	candidates := []cataloguer.Upstream{{ID: "a"}, {ID: "b"}}
	var b balancer.Balancer
	for range 6 {
		_, _ = b.Acquire(candidates, balancer.Query{Now: time.Unix(1, 0), Random: 0.9})
	}
	assert.Equal(t, map[string]int{"a": 3, "b": 3}, b.InFlightByUpstream())
}
