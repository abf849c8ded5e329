package chooser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/chooser"
)

func TestChoose(t *testing.T) {
	up := func(name, dataCentre string) chooser.Upstream {
		return chooser.Upstream{Name: name, Address: name, DataCentre: dataCentre}
	}
	gone := chooser.Upstream{Name: "gone", Address: "gone", DataCentre: "near", Draining: true}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	type event struct {
		at      time.Duration
		refused string // the upstream that refuses a connection then, if any
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
		{name: "none"},
		{name: "leaving only", upstreams: []chooser.Upstream{gone}},
		{name: "own data centre", upstreams: []chooser.Upstream{up("a", "far"), up("b", "near")}, want: "b", reason: chooser.LeastInFlight},
		{name: "leaving in the own data centre", upstreams: []chooser.Upstream{up("a", "far"), gone}, want: "a", reason: chooser.OtherDataCentre},
		{
			name: "tried", upstreams: []chooser.Upstream{up("a", "near"), up("b", "far")},
			tried: map[string]bool{"a": true}, want: "b", reason: chooser.OtherDataCentre,
		},
		{
			name: "least in flight", upstreams: []chooser.Upstream{up("a", "near"), up("b", "near")},
			events: []event{{busy: "a"}}, want: "b", reason: chooser.LeastInFlight,
		},
		{
			name: "rests after a refusal", upstreams: []chooser.Upstream{up("a", "near"), up("b", "far")},
			events: []event{{refused: "a"}}, at: 999 * time.Millisecond, want: "b", reason: chooser.OtherDataCentre,
		},
		{
			name: "rested enough", upstreams: []chooser.Upstream{up("a", "near"), up("b", "far")},
			events: []event{{refused: "a"}}, at: time.Second, want: "a", reason: chooser.LeastInFlight,
		},
		{
			name: "rests longer after a second refusal", upstreams: []chooser.Upstream{up("a", "near"), up("b", "far")},
			events: []event{{refused: "a"}, {at: time.Second, refused: "a"}}, at: 2900 * time.Millisecond, want: "b", reason: chooser.OtherDataCentre,
		},
		{
			name: "all rest", upstreams: []chooser.Upstream{up("a", "near"), up("b", "near")},
			events: []event{{refused: "b"}, {at: 100 * time.Millisecond, refused: "a"}}, at: 200 * time.Millisecond, want: "b", reason: chooser.AllBackingOff,
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var c chooser.Chooser
			for _, e := range tc.events {
				only := up(e.refused+e.busy, "near")
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

func TestChooseTakesTurns(t *testing.T) {
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
