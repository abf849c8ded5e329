package balancer_test

import (
	"math/rand/v2"
	"strconv"
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

// spread is the result of simulateSpread.
type spread struct {
	// connectionsPerRequest is the number of new connections for each request, and
	// overloaded the fraction of the requests sent to an upstream without a free slot.
	connectionsPerRequest, overloaded float64
}

// simulateSpread sends the requests of 300 processes, three a second each, to 110
// upstreams of 13 slots, of which they fill two thirds. Processes exchange their loads
// every 300 ms, and keep idle connections for 3 s.
func simulateSpread(preferConnected bool) spread {
	const (
		processes, upstreams, slots = 300, 110, 13
		tick                        = 10 * time.Millisecond
		length                      = 12 * time.Second
		duration                    = 1050 * time.Millisecond
		exchangeInterval            = 300 * time.Millisecond
		idleLimit                   = 3 * time.Second
		ratePerProcess              = 3.0
	)
	random := rand.New(rand.NewPCG(3, 4))
	candidates := make([]cataloguer.Upstream, upstreams)
	for i := range candidates {
		candidates[i] = cataloguer.Upstream{ID: strconv.Itoa(i), DataCentre: strconv.Itoa(i % 5)}
	}
	balancers := make([]balancer.Balancer, processes)
	idleSince := make([]map[string]time.Duration, processes)
	type end struct {
		process  int
		upstream string
	}
	ends := make(map[time.Duration][]end)
	total := make(map[string]int)
	requests, opened, overloaded := 0, 0, 0
	for now := time.Duration(0); now < length; now += tick {
		for _, e := range ends[now] {
			balancers[e.process].Release(e.upstream)
			total[e.upstream]--
			idleSince[e.process][e.upstream] = now
		}
		if now%exchangeInterval == 0 {
			for p := range balancers {
				others := make(map[string]int)
				own := balancers[p].InFlightByUpstream()
				for id, n := range total {
					others[id] = n - own[id]
				}
				balancers[p].SetPeerLoads(others)
			}
		}
		for p := range balancers {
			if idleSince[p] == nil {
				idleSince[p] = make(map[string]time.Duration)
			}
			if random.Float64() >= ratePerProcess*tick.Seconds() {
				continue
			}
			connected := func(u *cataloguer.Upstream) bool {
				at, ok := idleSince[p][u.ID]
				return ok && now-at < idleLimit
			}
			q := balancer.Query{
				Now: time.Unix(1, 0).Add(now), DataCentre: strconv.Itoa(p % 5), Random: random.Float64(),
				ExpectedRequests: processes * ratePerProcess * exchangeInterval.Seconds(),
			}
			if preferConnected {
				q.Connected = connected
			}
			u, _ := balancers[p].Acquire(candidates, q)
			requests++
			if !connected(&u) {
				opened++
			}
			delete(idleSince[p], u.ID)
			if total[u.ID] >= slots {
				overloaded++
			}
			total[u.ID]++
			ends[now+duration] = append(ends[now+duration], end{p, u.ID})
		}
	}
	return spread{float64(opened) / float64(requests), float64(overloaded) / float64(requests)}
}

// With many processes of few requests each, most requests go over a connection that is
// open already, and no more of them meet an upstream without a free slot.
func TestConnectedUpstreamsArePreferred(t *testing.T) {
	without, with := simulateSpread(false), simulateSpread(true)
	t.Logf("connections a request %.3f without, %.3f with; without a free slot %.4f, %.4f", without.connectionsPerRequest, with.connectionsPerRequest, without.overloaded, with.overloaded)
	assert.Less(t, with.connectionsPerRequest, 0.3)
	assert.LessOrEqual(t, with.overloaded, without.overloaded+0.005)
}

// A connected upstream is preferred only where it has no more requests in flight.
func TestConnectedUpstreamWithMoreLoad(t *testing.T) {
	candidates := []cataloguer.Upstream{{ID: "a"}, {ID: "b"}}
	for load, want := range map[int]string{5: "b", 6: "a"} {
		var b balancer.Balancer
		b.SetPeerLoads(map[string]int{"a": 5, "b": load})
		u, _ := b.Acquire(candidates, balancer.Query{Now: time.Unix(1, 0), ExpectedRequests: 1, Connected: func(u *cataloguer.Upstream) bool { return u.ID == "b" }})
		assert.Equal(t, want, u.ID)
	}
}
