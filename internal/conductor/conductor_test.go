package conductor_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

// lease is held, or was held last.
type lease struct{ lapsed bool }

func (l lease) Held(time.Time) bool { return !l.lapsed }
func (lease) Last() bool            { return true }
func (lease) Term() uint64          { return 7 }

// upstreams answers reports from a table, and keeps the orders that it is given.
type upstreams struct {
	mu      sync.Mutex
	reports map[string]cataloguer.Report
	orders  []conductor.Command
	times   []time.Time
	// moved is when the report of "a" first shows one order more.
	moved time.Time
}

func (u *upstreams) Report(_ context.Context, x cataloguer.Upstream) (cataloguer.Report, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.reports[x.ID]
	if x.ID == "a" && !u.moved.IsZero() && !time.Now().Before(u.moved) {
		r.Orders++
	}
	return r, nil
}

func (u *upstreams) Order(_ context.Context, _ cataloguer.Upstream, c conductor.Command) (bool, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.orders = append(u.orders, c)
	u.times = append(u.times, time.Now())
	return true, nil
}

func (u *upstreams) given(operation grouper.Operation, id string) []conductor.Command {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []conductor.Command
	for _, c := range u.orders {
		if c.Operation == operation && c.Upstream == id {
			out = append(out, c)
		}
	}
	return out
}

// run plays a conductor for d on a fleet that does not change.
func run(d time.Duration, u *upstreams, list ...cataloguer.Upstream) {
	play(d, u, lease{}, func(bool) {}, list...)
}

func play(d time.Duration, u *upstreams, l lease, leading func(bool), list ...cataloguer.Upstream) {
	var k cataloguer.Catalogue
	k.SetAway(l.lapsed)
	c := &cataloguer.Configuration{Version: 1, Services: map[string]cataloguer.Service{"s": {Name: "s", Engine: &cataloguer.Engine{
		Slots: 26, Models: []cataloguer.Model{{Name: "m", Size: 3, Share: 1, Pace: 1, Load: time.Second, Warm: time.Second}},
	}}}}
	c.Index()
	k.SetConfiguration(c)
	fleet := make(map[string]cataloguer.Upstream)
	for _, x := range list {
		x.Service, x.Domain, x.Staged = "s", "d", []string{"m"}
		fleet[x.ID] = x
	}
	k.SetFleet(cataloguer.NewFleet(1, fleet))
	x := &conductor.Conductor{Lease: l, Leading: leading, Knowledge: &k, Upstreams: u, StallTime: 6 * time.Second, Busy: func() bool { return true }}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	x.Run(ctx)
}

// A head that serves by now, as its own report says, is not joined to another
// group, although the list showed it ready.
func TestServingHeadIsNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := cataloguer.Membership{Name: "g", Epoch: 5, State: cataloguer.GroupReady, Model: "m"}
		serving := listed
		serving.State = cataloguer.GroupOpen
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: serving, Orders: 2}}}
		run(20*time.Second, u, cataloguer.Upstream{ID: "a", Group: listed}, cataloguer.Upstream{ID: "b"}, cataloguer.Upstream{ID: "c"})
		assert.Empty(t, u.given(grouper.OperationJoin, "a"))
		assert.Empty(t, u.given(grouper.OperationLeave, "a"))
	})
}

// A head that another process has just given an order is not joined to another
// group before that order would show.
func TestHeadIsLeftAloneAfterAnothersOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := cataloguer.Membership{Name: "g", Epoch: 5, State: cataloguer.GroupReady, Model: "m"}
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: listed, Orders: 2}}}
		u.moved = time.Now().Add(4 * time.Second)
		run(20*time.Second, u, cataloguer.Upstream{ID: "a", Group: listed}, cataloguer.Upstream{ID: "b"}, cataloguer.Upstream{ID: "c"})
		assert.NotEmpty(t, u.given(grouper.OperationJoin, "a"))
		for i, c := range u.orders {
			if after := u.times[i].Sub(u.moved); c.Upstream == "a" && after >= 0 {
				assert.GreaterOrEqual(t, after, time.Second)
				break
			}
		}
	})
}

// A holder that goes on without the store ends once for all when an upstream
// shows an order of a later term.
func TestLingeringEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := cataloguer.Membership{Name: "g", Epoch: 7 << 20, Rank: 1, State: cataloguer.GroupReady, Model: "m"}
		later := own
		later.Epoch = 8 << 20
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: later}}}
		var changes []bool
		play(10*time.Second, u, lease{lapsed: true}, func(leading bool) { changes = append(changes, leading) }, cataloguer.Upstream{ID: "a", Group: own})
		assert.Equal(t, []bool{true, false}, changes)
	})
}

// An order names the number of orders that the upstream has accepted, counting
// those that its report does not show yet.
func TestOrdersExpectWhatWasAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ready := func(rank int) cataloguer.Membership {
			return cataloguer.Membership{Name: "g", Epoch: 5, Rank: rank, State: cataloguer.GroupReady, Model: "m"}
		}
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: ready(0), Orders: 4}}}
		run(2*time.Second, u, cataloguer.Upstream{ID: "a", Group: ready(0)}, cataloguer.Upstream{ID: "b", Group: ready(1)}, cataloguer.Upstream{ID: "c", Group: ready(2)})
		opens := u.given(grouper.OperationOpen, "a")
		if assert.GreaterOrEqual(t, len(opens), 2) {
			assert.Equal(t, uint64(4), opens[0].Expect)
			assert.Equal(t, uint64(5), opens[1].Expect)
		}
	})
}
