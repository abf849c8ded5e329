package balancer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// The upstreams of a data centre are passed over once two of them are silent and none of
// its processes answers, and only then.
func TestCutOffDataCentre(t *testing.T) {
	testCases := []struct {
		name       string
		unanswered []string
		silent     int
		// cutOff is true if no upstream of the data centre "b" may be chosen.
		cutOff bool
	}{
		{name: "no sign"},
		{name: "processes restart", unanswered: []string{"b"}},
		{name: "one upstream is lost besides", unanswered: []string{"b"}, silent: 1},
		{name: "several upstreams are lost", silent: 5},
		{name: "another data centre does not answer", unanswered: []string{"c"}, silent: 5},
		{name: "partition", unanswered: []string{"b"}, silent: 2, cutOff: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var b balancer.Balancer
			now := time.Unix(1, 0)
			var candidates []cataloguer.Upstream
			for i := range 20 {
				candidates = append(candidates, cataloguer.Upstream{ID: strconv.Itoa(i), DataCentre: string("ab"[i%2])})
			}
			b.SetPeerLoads(map[string]int{})
			b.SetUnanswered(tc.unanswered)
			for i := range tc.silent {
				b.MarkSilentByPeer(candidates[2*i+1].ID, 0, now)
			}
			chosen := make(map[string]int)
			for i := range 200 {
				u, reason := b.Acquire(candidates, balancer.Query{Now: now, DataCentre: "a", ExpectedRequests: 100, Random: float64(i) / 200})
				assert.Empty(t, reason)
				chosen[u.DataCentre]++
			}
			assert.Equal(t, tc.cutOff, chosen["b"] == 0, chosen)
			count, _ := b.Usable(candidates, now)
			want := 20 - tc.silent
			if tc.cutOff {
				want = 10
			}
			assert.Equal(t, want, count)
		})
	}
}
