package chooser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/chooser"
)

func TestChoose(t *testing.T) {
	upstream := func(name, dataCentre string) chooser.Upstream {
		return chooser.Upstream{Name: name, Address: name, DataCentre: dataCentre}
	}
	draining := chooser.Upstream{Name: "draining", Address: "draining", DataCentre: "near", Draining: true}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	type event struct {
		at      time.Duration
		refused string // the upstream that refuses a connection, if any
		busy    string // the upstream that gets a call in flight, if any
	}
	testCases := []struct {
		name      string
		upstreams []chooser.Upstream
		tried     map[string]bool
		events    []event
		at        time.Duration
		want      string
		reason    chooser.Reason
	}{
		{name: "no upstreams"},
		{name: "draining only", upstreams: []chooser.Upstream{draining}},
		{name: "own data centre", upstreams: []chooser.Upstream{upstream("a", "far"), upstream("b", "near")}, want: "b", reason: chooser.LeastInFlight},
		{name: "draining in the own data centre", upstreams: []chooser.Upstream{upstream("a", "far"), draining}, want: "a", reason: chooser.OtherDataCentre},
		{
			name: "tried before", upstreams: []chooser.Upstream{upstream("a", "near"), upstream("b", "far")},
			tried: map[string]bool{"a": true}, want: "b", reason: chooser.OtherDataCentre,
		},
		{
			name: "least in flight", upstreams: []chooser.Upstream{upstream("a", "near"), upstream("b", "near")},
			events: []event{{busy: "a"}}, want: "b", reason: chooser.LeastInFlight,
		},
		{
			name: "backoff after a refusal", upstreams: []chooser.Upstream{upstream("a", "near"), upstream("b", "far")},
			events: []event{{refused: "a"}}, at: 999 * time.Millisecond, want: "b", reason: chooser.OtherDataCentre,
		},
		{
			name: "backoff over", upstreams: []chooser.Upstream{upstream("a", "near"), upstream("b", "far")},
			events: []event{{refused: "a"}}, at: time.Second, want: "a", reason: chooser.LeastInFlight,
		},
		{
			name: "longer backoff after a second refusal", upstreams: []chooser.Upstream{upstream("a", "near"), upstream("b", "far")},
			events: []event{{refused: "a"}, {at: time.Second, refused: "a"}}, at: 2900 * time.Millisecond, want: "b", reason: chooser.OtherDataCentre,
		},
		{
			name: "all in backoff", upstreams: []chooser.Upstream{upstream("a", "near"), upstream("b", "near")},
			events: []event{{refused: "b"}, {at: 100 * time.Millisecond, refused: "a"}}, at: 200 * time.Millisecond, want: "b", reason: chooser.AllBackingOff,
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var c chooser.Chooser
			for _, e := range tc.events {
				only := upstream(e.refused+e.busy, "near")
				c.Choose(start.Add(e.at), "near", []chooser.Upstream{only}, nil)
				if e.refused != "" {
					c.Done(start.Add(e.at), e.refused, true)
				}
			}
			got, ok := c.Choose(start.Add(tc.at), "near", tc.upstreams, tc.tried)
			assert.Equal(t, tc.want != "", ok)
			assert.Equal(t, tc.want, got.Upstream.Name)
			assert.Equal(t, tc.reason, got.Reason)
		})
	}
}

func TestChooseSpreadsOverEqualUpstreams(t *testing.T) {
	var c chooser.Chooser
	var now time.Time
	count := make(map[string]int)
	for range 30 {
		got, _ := c.Choose(now, "near", []chooser.Upstream{{Address: "a"}, {Address: "b"}, {Address: "c"}}, nil)
		count[got.Upstream.Address]++
		c.Done(now, got.Upstream.Address, false)
	}
	assert.Equal(t, map[string]int{"a": 10, "b": 10, "c": 10}, count)
}
