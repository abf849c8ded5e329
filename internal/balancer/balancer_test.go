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
			prepare: func(b *balancer.Balancer) { b.Take(near("x"), balancer.Query{Now: now, DataCentre: "a"}) },
		},
		{name: "not twice", candidates: near("x", "y"), query: balancer.Query{Avoid: []string{"x"}}, want: "y"},
		{
			name: "full", candidates: near("x"), query: balancer.Query{Limit: 1}, reason: balancer.ReasonFull,
			prepare: func(b *balancer.Balancer) { b.Take(near("x"), balancer.Query{Now: now, DataCentre: "a"}) },
		},
		{
			name: "refused lately", candidates: near("x", "y"), want: "y",
			prepare: func(b *balancer.Balancer) { b.Full("x", now) },
		},
		{
			name: "silent", candidates: near("x"), reason: balancer.ReasonSilent,
			prepare: func(b *balancer.Balancer) { b.Silent("x", now) },
		},
		{
			name: "heard of again", candidates: near("x"), want: "x",
			prepare: func(b *balancer.Balancer) { b.Silent("x", now); b.Heard("x", now) },
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
			u, reason := b.Take(tc.candidates, tc.query)
			assert.Equal(t, tc.want, u.ID)
			assert.Equal(t, tc.reason, reason)
		})
	}
}
