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
// and counts the orders and log lines of that minute.
func TestOutages(t *testing.T) {
	testCases := []struct {
		name       string
		fault      func(f *fleet)
		heal       func(f *fleet)
		mostOrders int
		mostLines  int
	}{
		{
			name:  "platform away at the start",
			fault: func(f *fleet) { f.out = true }, heal: func(f *fleet) { f.out = false },
			mostLines: 2,
		},
		{
			name: "placement that can't be read",
			fault: func(f *fleet) {
				f.objects["placement/dc/f0"] = storer.Object{Key: "placement/dc/f0", Version: 1, Value: []byte("{")}
			},
			heal: func(f *fleet) { delete(f.objects, "placement/dc/f0") },
			// The other domain is formed: lease, one bad object, form, orders, serve.
			mostOrders: 2, mostLines: 7,
		},
		{
			name:       "instances that refuse every order",
			fault:      func(f *fleet) { f.setDeaf(true) },
			heal:       func(f *fleet) { f.setDeaf(false) },
			mostOrders: 28, mostLines: 33,
		},
		{
			name:  "instances that are listed and dead",
			fault: func(f *fleet) { f.setDead(true) }, heal: func(f *fleet) { f.setDead(false) },
			mostLines: 2,
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2, 2, true, time.Second)
				f.change(func() { tc.fault(f) })
				d := validator.Document{Groups: groups(2, 1, 2)}
				g := &guard{fleet: f, generations: map[string]uint64{}}
				p := f.start("p1")
				p.configure(t, 1, d)
				time.Sleep(time.Minute)
				f.change(func() {
					assert.LessOrEqual(t, f.calls["order"], tc.mostOrders)
					tc.heal(f)
				})
				p.stop()
				assert.LessOrEqual(t, strings.Count(p.log.String(), "\n"), tc.mostLines, p.log.String())
				p = f.start("p2")
				defer p.stop()
				p.configure(t, 1, d)
				g.sleep(t, 2*time.Minute)
				assert.True(t, f.settled(d))
			})
		})
	}
}

func (f *fleet) setDeaf(deaf bool) {
	for _, e := range f.engines {
		e.deaf = deaf
	}
}

func (f *fleet) setDead(dead bool) {
	for _, e := range f.engines {
		e.dead = dead
	}
}
