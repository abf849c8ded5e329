package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

func TestTake(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	near := func(ids ...string) []cataloguer.Upstream {
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
		{name: "nobody", reason: balancer.ReasonNone},
		{name: "near before remote", candidates: append(near("x"), remote), want: "x"},
		{
			name: "remote before a busy one", candidates: append(near("x"), remote), want: "r",
			prepare: func(b *balancer.Balancer) { b.Acquire(near("x"), balancer.Query{Now: now, DataCentre: "a"}) },
		},
		{name: "not twice", candidates: near("x", "y"), query: balancer.Query{Exclude: []string{"x"}}, want: "y"},
		{
			name: "full", candidates: near("x"), query: balancer.Query{Limit: 1}, reason: balancer.ReasonFull,
			prepare: func(b *balancer.Balancer) { b.Acquire(near("x"), balancer.Query{Now: now, DataCentre: "a"}) },
		},
		{
			name: "refused lately", candidates: near("x", "y"), want: "y",
			prepare: func(b *balancer.Balancer) { b.MarkFull("x", now) },
		},
		{
			name: "silent", candidates: near("x"), reason: balancer.ReasonSilent,
			prepare: func(b *balancer.Balancer) { b.MarkSilent("x", 0, true, now) },
		},
		{
			name: "heard of again", candidates: near("x"), want: "x",
			prepare: func(b *balancer.Balancer) { b.MarkSilent("x", 0, true, now); b.RecordActivity("x", now) },
		},
		{name: "leaving", candidates: []cataloguer.Upstream{{ID: "x", Draining: true}}, reason: balancer.ReasonNone},
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

// A silence that others see counts while they tell it, for the life of the group
// that they name, and never against what this process has heard lately.
func TestTold(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []cataloguer.Upstream{{ID: "x", Group: cataloguer.Membership{Name: "g", Epoch: 4}}}
	var b balancer.Balancer
	room := func(after time.Duration) bool { return b.HasCapacity(list, balancer.Query{Now: now.Add(after)}) }
	assert.True(t, b.MarkSilentByPeer("x", 4, now))
	assert.False(t, b.MarkSilentByPeer("x", 4, now), "no news")
	assert.False(t, room(0))
	assert.True(t, room(time.Second))
	b.MarkSilentByPeer("x", 3, now)
	assert.True(t, room(0), "an earlier life of the group")
	b.RecordActivity("x", now)
	assert.False(t, b.MarkSilentByPeer("x", 4, now.Add(100*time.Millisecond)))
	assert.True(t, room(100*time.Millisecond))
	b.MarkSilent("x", 4, true, now)
	assert.Equal(t, map[string]uint64{"x": 4}, b.SilentEpochs(now))
	list[0].Group.Epoch = 5
	assert.True(t, room(0), "the group was formed again")
}
