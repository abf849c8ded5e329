package servicebalancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/servicebalancer"
)

func TestChoose(t *testing.T) {
	upstream := func(name, dataCentre string) servicebalancer.Upstream {
		return servicebalancer.Upstream{Name: name, Address: name, DataCentre: dataCentre}
	}
	draining := servicebalancer.Upstream{Name: "draining", Address: "draining", DataCentre: "near", Draining: true}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	type event struct {
		at      time.Duration
		refused string // the upstream that refuses a connection, if any
		busy    string // the upstream that gets a call in flight, if any
	}
	testCases := []struct {
		name      string
		upstreams []servicebalancer.Upstream
		tried     map[string]bool
		events    []event
		at        time.Duration
		want      string
		reason    servicebalancer.Reason
	}{
		{name: "no upstreams"},
		{name: "draining only", upstreams: []servicebalancer.Upstream{draining}},
		{name: "own data centre", upstreams: []servicebalancer.Upstream{upstream("a", "far"), upstream("b", "near")}, want: "b", reason: servicebalancer.LeastInFlight},
		{name: "draining in the own data centre", upstreams: []servicebalancer.Upstream{upstream("a", "far"), draining}, want: "a", reason: servicebalancer.OtherDataCentre},
		{
			name: "tried before", upstreams: []servicebalancer.Upstream{upstream("a", "near"), upstream("b", "far")},
			tried: map[string]bool{"a": true}, want: "b", reason: servicebalancer.OtherDataCentre,
		},
		{
			name: "least in flight", upstreams: []servicebalancer.Upstream{upstream("a", "near"), upstream("b", "near")},
			events: []event{{busy: "a"}}, want: "b", reason: servicebalancer.LeastInFlight,
		},
		{
			name: "backoff after a refusal", upstreams: []servicebalancer.Upstream{upstream("a", "near"), upstream("b", "far")},
			events: []event{{refused: "a"}}, at: 999 * time.Millisecond, want: "b", reason: servicebalancer.OtherDataCentre,
		},
		{
			name: "backoff over", upstreams: []servicebalancer.Upstream{upstream("a", "near"), upstream("b", "far")},
			events: []event{{refused: "a"}}, at: time.Second, want: "a", reason: servicebalancer.LeastInFlight,
		},
		{
			name: "longer backoff after a second refusal", upstreams: []servicebalancer.Upstream{upstream("a", "near"), upstream("b", "far")},
			events: []event{{refused: "a"}, {at: time.Second, refused: "a"}}, at: 2900 * time.Millisecond, want: "b", reason: servicebalancer.OtherDataCentre,
		},
		{
			name: "all in backoff", upstreams: []servicebalancer.Upstream{upstream("a", "near"), upstream("b", "near")},
			events: []event{{refused: "b"}, {at: 100 * time.Millisecond, refused: "a"}}, at: 200 * time.Millisecond, want: "b", reason: servicebalancer.AllBackingOff,
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var b servicebalancer.Balancer
			for _, e := range tc.events {
				only := upstream(e.refused+e.busy, "near")
				b.Choose(start.Add(e.at), "near", []servicebalancer.Upstream{only}, nil)
				if e.refused != "" {
					b.Done(start.Add(e.at), e.refused, true)
				}
			}
			got, ok := b.Choose(start.Add(tc.at), "near", tc.upstreams, tc.tried)
			assert.Equal(t, tc.want != "", ok)
			assert.Equal(t, tc.want, got.Upstream.Name)
			assert.Equal(t, tc.reason, got.Reason)
		})
	}
}

func TestChooseSpreadsOverEqualUpstreams(t *testing.T) {
	var b servicebalancer.Balancer
	var now time.Time
	count := make(map[string]int)
	for range 30 {
		got, _ := b.Choose(now, "near", []servicebalancer.Upstream{{Address: "a"}, {Address: "b"}, {Address: "c"}}, nil)
		count[got.Upstream.Address]++
		b.Done(now, got.Upstream.Address, false)
	}
	assert.Equal(t, map[string]int{"a": 10, "b": 10, "c": 10}, count)
}
