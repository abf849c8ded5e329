package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

func TestAcquire(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	local := func(ids ...string) []cataloguer.Upstream {
		var out []cataloguer.Upstream
		for _, id := range ids {
			out = append(out, cataloguer.Upstream{ID: id, DataCentre: "a"})
		}
		return out
	}
	remote := cataloguer.Upstream{ID: "r", DataCentre: "b"}
	testCases := []struct {
		name       string
		candidates []cataloguer.Upstream
		prepare    func(b *balancer.Balancer)
		query      balancer.Query
		want       string
		reason     balancer.Reason
	}{
		{name: "no candidates", reason: balancer.ReasonNone},
		{name: "local before remote", candidates: append(local("x"), remote), want: "x"},
		{
			name: "idle remote before a busy local upstream", candidates: append(local("x"), remote), want: "r",
			prepare: func(b *balancer.Balancer) { b.Acquire(local("x"), balancer.Query{Now: now, DataCentre: "a"}) },
		},
		{name: "excluded upstream", candidates: local("x", "y"), query: balancer.Query{Exclude: []string{"x"}}, want: "y"},
		{
			name: "full", candidates: local("x"), query: balancer.Query{Limit: 1}, reason: balancer.ReasonFull,
			prepare: func(b *balancer.Balancer) { b.Acquire(local("x"), balancer.Query{Now: now, DataCentre: "a"}) },
		},
		{
			name: "refused a request recently because full", candidates: local("x", "y"), want: "y",
			prepare: func(b *balancer.Balancer) { b.MarkFull("x", now) },
		},
		{
			name: "silent", candidates: local("x"), reason: balancer.ReasonSilent,
			prepare: func(b *balancer.Balancer) { b.MarkSilent("x", 0, true, now) },
		},
		{
			name: "active again after a silence", candidates: local("x"), want: "x",
			prepare: func(b *balancer.Balancer) { b.MarkSilent("x", 0, true, now); b.RecordActivity("x", now) },
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var b balancer.Balancer
			if tc.prepare != nil {
				tc.prepare(&b)
			}
			tc.query.Now, tc.query.DataCentre = now, "a"
			u, reason := b.Acquire(tc.candidates, tc.query)
			assert.Equal(t, tc.want, u.ID)
			assert.Equal(t, tc.reason, reason)
		})
	}
}

// A silence that a peer reported lasts until shortly after the last report, applies
// only to the epoch of the group in the report, and is ignored if this process saw
// recent activity itself.
func TestMarkSilentByPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []cataloguer.Upstream{{ID: "x", Group: cataloguer.Membership{Name: "g", Epoch: 4}}}
	var b balancer.Balancer
	hasCapacity := func(after time.Duration) bool { return b.HasCapacity(list, balancer.Query{Now: now.Add(after)}) }
	assert.True(t, b.MarkSilentByPeer("x", 4, now))
	assert.False(t, b.MarkSilentByPeer("x", 4, now), "repeated report")
	assert.False(t, hasCapacity(0))
	assert.True(t, hasCapacity(time.Second))
	b.MarkSilentByPeer("x", 3, now)
	assert.True(t, hasCapacity(0), "an earlier epoch of the group")
	b.RecordActivity("x", now)
	assert.False(t, b.MarkSilentByPeer("x", 4, now.Add(100*time.Millisecond)))
	assert.True(t, hasCapacity(100*time.Millisecond))
	b.MarkSilent("x", 4, true, now)
	assert.Equal(t, map[string]uint64{"x": 4}, b.SilentEpochs(now))
	list[0].Group.Epoch = 5
	assert.True(t, hasCapacity(0), "a later epoch of the group")
}
