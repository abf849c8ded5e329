package placer_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

// TestOutages starts a placer over a fleet with a fault that lasts for a minute,
// and bounds the orders and log lines of that minute. After the fault, another
// placer must bring the fleet to its declared state.
func TestOutages(t *testing.T) {
	testCases := []struct {
		name        string
		fault       func(f *fleet)
		heal        func(f *fleet)
		maxOrders   int
		maxLogLines int
	}{
		{
			name:  "platform unavailable at the start",
			fault: func(f *fleet) { f.unavailable = true }, heal: func(f *fleet) { f.unavailable = false },
			maxLogLines: 2,
		},
		{
			name: "placement that can't be read",
			fault: func(f *fleet) {
				f.objects["placement/dc/f0"] = storer.Object{Key: "placement/dc/f0", Version: 1, Value: []byte("{")}
			},
			heal: func(f *fleet) { delete(f.objects, "placement/dc/f0") },
			// The other domain's replica is formed. The log lines are the lease,
			// the unreadable placement, form, the orders and serve.
			maxOrders: 2, maxLogLines: 7,
		},
		{
			name:      "instances that refuse every order",
			fault:     func(f *fleet) { f.setRefusesOrders(true) },
			heal:      func(f *fleet) { f.setRefusesOrders(false) },
			maxOrders: 28, maxLogLines: 33,
		},
		{
			name:  "instances that are listed and dead",
			fault: func(f *fleet) { f.setDead(true) }, heal: func(f *fleet) { f.setDead(false) },
			maxLogLines: 2,
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2, 2, true, time.Second)
				f.withLock(func() { tc.fault(f) })
				d := validator.Document{Groups: groups(2, 1, 2)}
				checker := &invariantChecker{fleet: f, generations: map[string]uint64{}}
				p := f.start("p1")
				p.configure(t, 1, d)
				time.Sleep(time.Minute)
				f.withLock(func() {
					assert.LessOrEqual(t, f.calls["order"], tc.maxOrders)
					tc.heal(f)
				})
				p.stop()
				assert.LessOrEqual(t, strings.Count(p.log.String(), "\n"), tc.maxLogLines, p.log.String())
				p = f.start("p2")
				defer p.stop()
				p.configure(t, 1, d)
				checker.sleep(t, 2*time.Minute)
				assert.True(t, f.settled(d))
			})
		})
	}
}

// A placement whose object names another domain is logged with both names.
func TestPlacementOfAnotherDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 2, true, time.Second)
		f.withLock(func() {
			f.objects["placement/dc/f0"] = storer.Object{Key: "placement/dc/f0", Version: 1, Value: []byte(`{"domain":"f7"}`)}
		})
		p := f.start("p1")
		p.configure(t, 1, validator.Document{Groups: groups(2, 1, 2)})
		time.Sleep(10 * time.Second)
		p.stop()
		assert.Contains(t, p.log.String(), `placer: read placement/dc/f0: the object names the domain \"f7\"`)
	})
}

// setRefusesOrders makes all engines refuse orders, or accept them again.
func (f *fleet) setRefusesOrders(refuse bool) {
	for _, e := range f.engines {
		e.refusesOrders = refuse
	}
}

// setDead makes all engines refuse connections, or accept them again.
func (f *fleet) setDead(dead bool) {
	for _, e := range f.engines {
		e.dead = dead
	}
}
