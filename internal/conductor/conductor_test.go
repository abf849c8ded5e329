package conductor_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
	"github.com/lycheebarrow/lycheebarrow/internal/grouper"
)

// A head whose report shows it open is not ordered into another group, although the
// platform's list still shows it ready.
func TestServingHeadIsNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := cataloguer.Membership{Name: "g", Epoch: 5, State: cataloguer.MemberReady, Model: "m"}
		serving := listed
		serving.State = cataloguer.MemberOpen
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: serving, Orders: 2}}}
		runConductor(20*time.Second, u, cataloguer.Upstream{ID: "a", Group: listed}, cataloguer.Upstream{ID: "b"}, cataloguer.Upstream{ID: "c"})
		assert.Empty(t, u.ordersTo(grouper.OperationJoin, "a"))
		assert.Empty(t, u.ordersTo(grouper.OperationLeave, "a"))
	})
}

// A head that another process has just given an order is not ordered into another
// group until that order would show in the head's state.
func TestHeadIsNotJoinedAfterOrderOfOtherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listed := cataloguer.Membership{Name: "g", Epoch: 5, State: cataloguer.MemberReady, Model: "m"}
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: listed, Orders: 2}}}
		u.orderAddedAt = time.Now().Add(4 * time.Second)
		runConductor(20*time.Second, u, cataloguer.Upstream{ID: "a", Group: listed}, cataloguer.Upstream{ID: "b"}, cataloguer.Upstream{ID: "c"})
		assert.NotEmpty(t, u.ordersTo(grouper.OperationJoin, "a"))
		for i, c := range u.orders {
			if after := u.times[i].Sub(u.orderAddedAt); c.Upstream == "a" && after >= 0 {
				assert.GreaterOrEqual(t, after, time.Second)
				break
			}
		}
	})
}

// When the lease holder can reach a whole group again, the group is not closed
// although the head answers before its members have been checked again. A member
// that stops answering after that is lost, and its group is closed.
func TestGroupStaysOpenWhenHolderReachesItAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := threeMembers()
		startedAt := time.Now()
		u := &upstreams{
			reports:         map[string]cataloguer.Report{"a": {Group: a.Group}, "b": {Group: b.Group}, "c": {Group: c.Group}},
			unreachableFrom: startedAt.Add(2500 * time.Millisecond), reachableFrom: startedAt.Add(6 * time.Second),
			failureDelays: map[string]time.Duration{"a": 0, "b": 150 * time.Millisecond, "c": 290 * time.Millisecond},
		}
		runConductor(12*time.Second, u, a, b, c)
		assert.Empty(t, u.ordersTo(grouper.OperationClose, "a"))
		u.lose("c")
		runConductor(6*time.Second, u, a, b, c)
		assert.NotEmpty(t, u.ordersTo(grouper.OperationClose, "a"))
	})
}

// A member that has started again is lost to its group, although it answers and the
// platform's list still shows it as it was before.
func TestRestartedMemberIsLost(t *testing.T) {
	for _, tc := range []struct {
		restarted, ordered string
		operation          grouper.Operation
	}{
		{restarted: "c", ordered: "a", operation: grouper.OperationClose},
		{restarted: "a", ordered: "b", operation: grouper.OperationLeave},
	} {
		t.Run(tc.restarted, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := threeUpstreams()
				u := &upstreams{reports: make(map[string]cataloguer.Report)}
				for i := range list {
					list[i].StartedMs = 1000
					u.reports[list[i].ID] = cataloguer.Report{Group: list[i].Group, StartedMs: 1000}
				}
				u.reports[tc.restarted] = cataloguer.Report{StartedMs: 9000}
				start := time.Now()
				runConductor(5*time.Second, u, list...)
				at := u.timesOf(tc.operation, tc.ordered)
				if assert.NotEmpty(t, at) {
					assert.Less(t, at[0].Sub(start), 2*time.Second)
				}
				assert.Empty(t, u.ordersTo(grouper.OperationJoin, tc.restarted))
			})
		})
	}
}

// A group that sends data to callers is not closed because the lease holder can't reach
// one of its members. It is closed soon after it has stopped.
func TestGroupThatSendsDataStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{failureDelays: map[string]time.Duration{"b": 300 * time.Millisecond}}
		u.lose("b")
		stopsAt := time.Now().Add(20 * time.Second)
		setup := func(c *conductor.Conductor) {
			// The activity is known half a second late.
			c.LastActivity = func(string) time.Time {
				if at := time.Now().Add(-500 * time.Millisecond); at.Before(stopsAt) {
					return at
				}
				return stopsAt
			}
		}
		u.reports = make(map[string]cataloguer.Report)
		for _, x := range threeUpstreams() {
			u.reports[x.ID] = cataloguer.Report{Group: x.Group}
		}
		runWithSetup(&cataloguer.Catalogue{}, 30*time.Second, u, lease{}, func(bool) {}, setup, threeUpstreams()...)
		closes := u.timesOf(grouper.OperationClose, "a")
		require.NotEmpty(t, closes)
		assert.WithinRange(t, closes[0], stopsAt, stopsAt.Add(4*time.Second))
	})
}

// A group that could reach neither the store nor the lease holder, so that its entries
// expired, is not closed when the entries come back one after the other. It is closed
// if a member was lost meanwhile.
func TestGroupStaysOpenWhenExpiredEntriesReturn(t *testing.T) {
	for _, memberLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a, b, c := threeMembers()
			startedAt := time.Now()
			u := &upstreams{
				reports:         map[string]cataloguer.Report{"a": {Group: a.Group}, "b": {Group: b.Group}, "c": {Group: c.Group}},
				unreachableFrom: startedAt.Add(2500 * time.Millisecond), reachableFrom: startedAt.Add(10 * time.Second),
				failureDelays: map[string]time.Duration{"a": 290 * time.Millisecond, "b": 290 * time.Millisecond, "c": 290 * time.Millisecond},
			}
			var k cataloguer.Catalogue
			for i, list := range [][]cataloguer.Upstream{{a, b, c}, {b, c}, {c}, {}, {a}, {a, b}, {a, b, c}} {
				at := []time.Duration{0, 5500, 5600, 5700, 10200, 10800, 11300}[i] * time.Millisecond
				time.AfterFunc(at, func() { setFleet(&k, uint64(i+2), list...) })
			}
			if memberLost {
				// The member is lost while it is unreachable, and its entry expires again.
				time.AfterFunc(9*time.Second, func() { u.lose("c") })
				time.AfterFunc(11400*time.Millisecond, func() { setFleet(&k, 9, a, b) })
			}
			runOnCatalogue(&k, 15*time.Second, u, lease{}, func(bool) {}, a, b, c)
			assert.Equal(t, memberLost, len(u.ordersTo(grouper.OperationClose, "a")) > 0)
		})
	}
}

// When the store answers again, its list shows groups as they were before the outage
// until the upstreams have written their entries again. Until then the upstreams' own
// reports take precedence, so a group that was formed meanwhile gets no orders.
func TestListIsOldAfterTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := threeMembers()
		updated := func(u cataloguer.Upstream) cataloguer.Upstream {
			u.Group.Name, u.Group.Epoch = "later", 7<<20|1
			return u
		}
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: updated(a).Group}, "b": {Group: updated(b).Group}, "c": {Group: updated(c).Group}}}
		var k cataloguer.Catalogue
		k.SetListUnavailable(true)
		time.AfterFunc(6*time.Second, func() {
			k.SetListUnavailable(false)
			// The entry of a is current, that of b is stale, and that of c is missing.
			setFleet(&k, 2, updated(a), b)
		})
		time.AfterFunc(7500*time.Millisecond, func() { setFleet(&k, 3, updated(a), updated(b), updated(c)) })
		runOnCatalogue(&k, 11*time.Second, u, lease{}, func(bool) {}, a, b, c)
		assert.Empty(t, u.ordersTo(grouper.OperationClose, "a"))
		for _, id := range []string{"a", "b", "c"} {
			assert.Empty(t, u.ordersTo(grouper.OperationLeave, id), id)
			assert.Empty(t, u.ordersTo(grouper.OperationJoin, id), id)
		}
	})
}

// A process that begins to give orders while the list can't be read gives none until
// all upstreams have been checked once: the first reports alone would show a group
// that was formed after the list was read as incomplete.
func TestLeadingOnOldListAwaitsFirstChecks(t *testing.T) {
	for _, memberLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a, b, c := threeMembers()
			reports := make(map[string]cataloguer.Report)
			for _, x := range []cataloguer.Upstream{a, b, c} {
				x.Group.Name, x.Group.Epoch = "later", 7<<20|1
				reports[x.ID] = cataloguer.Report{Group: x.Group}
			}
			u := &upstreams{
				reports:       reports,
				answerDelays:  map[string]time.Duration{"b": 100 * time.Millisecond, "c": 200 * time.Millisecond},
				failureDelays: map[string]time.Duration{"c": 290 * time.Millisecond},
			}
			if memberLost {
				u.lose("c")
			}
			var k cataloguer.Catalogue
			k.SetListUnavailable(true)
			runOnCatalogue(&k, 3*time.Second, u, lease{}, func(bool) {}, a, b, c)
			assert.Equal(t, memberLost, len(u.ordersTo(grouper.OperationClose, "a")) > 0)
			if !memberLost {
				assert.Empty(t, u.ordersTo(grouper.OperationLeave, "b"))
				assert.Empty(t, u.ordersTo(grouper.OperationLeave, "c"))
			}
		})
	}
}

// A process that begins to give orders does not open a group on the word of the list alone: a
// member that the list still shows may have been lost before.
func TestGroupIsNotOpenedBeforeItsMembersAnswer(t *testing.T) {
	for _, memberLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a, b, c := threeMembers()
			members := []*cataloguer.Upstream{&a, &b, &c}
			u := &upstreams{
				reports:       make(map[string]cataloguer.Report),
				answerDelays:  map[string]time.Duration{"b": 100 * time.Millisecond, "c": 200 * time.Millisecond},
				failureDelays: map[string]time.Duration{"c": 290 * time.Millisecond},
			}
			for _, x := range members {
				x.Group.State = cataloguer.MemberReady
				u.reports[x.ID] = cataloguer.Report{Group: x.Group}
			}
			if memberLost {
				u.lose("c")
			}
			var k cataloguer.Catalogue
			start := time.Now()
			runOnCatalogue(&k, 3*time.Second, u, lease{}, func(bool) {}, a, b, c)
			opens := u.timesOf(grouper.OperationOpen, "a")
			assert.Equal(t, memberLost, len(opens) == 0)
			if len(opens) > 0 {
				assert.Less(t, opens[0].Sub(start), 500*time.Millisecond)
			}
		})
	}
}

// A group that was reported with Suspect is closed after one failed check of a member,
// and is not closed if all its members answer.
func TestSuspectedGroupIsClosedAfterOneFailedCheck(t *testing.T) {
	for _, memberLost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			a, b, c := threeMembers()
			startedAt := time.Now()
			u := &upstreams{
				reports:       map[string]cataloguer.Report{"a": {Group: a.Group}, "b": {Group: b.Group}, "c": {Group: c.Group}},
				failureDelays: map[string]time.Duration{"c": 290 * time.Millisecond},
			}
			var k cataloguer.Catalogue
			suspect := func(x *conductor.Conductor) {
				time.AfterFunc(4200*time.Millisecond, func() {
					if memberLost {
						u.lose("c")
					}
					x.Suspect("a")
				})
			}
			runWithSetup(&k, 6*time.Second, u, lease{}, func(bool) {}, suspect, a, b, c)
			closes := u.ordersTo(grouper.OperationClose, "a")
			if !assert.Equal(t, memberLost, len(closes) > 0) || !memberLost {
				return
			}
			assert.LessOrEqual(t, u.times[0].Sub(startedAt), 4800*time.Millisecond)
		})
	}
}

// A holder that can't reach the store and continues to give orders after its lease has
// expired stops for good when an upstream shows an order of a later term.
func TestLeadingWithoutLeaseEndsAtLaterTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := cataloguer.Membership{Name: "g", Epoch: 7 << 20, Rank: 1, State: cataloguer.MemberReady, Model: "m"}
		later := own
		later.Epoch = 8 << 20
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: later}}}
		var changes []bool
		runWithLease(10*time.Second, u, lease{expired: true}, func(leading bool) { changes = append(changes, leading) }, cataloguer.Upstream{ID: "a", Group: own})
		assert.Equal(t, []bool{true, false}, changes)
	})
}

// A holder that can't reach the store gives no orders beside the process that has taken the
// lease, although no upstream that it can reach shows an order of that process.
func TestLeadingWithoutLeaseEndsAtTermOfPeer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		toldAt  time.Duration
		changes []bool
	}{
		{name: "before it would continue", changes: nil},
		{name: "later", toldAt: 6 * time.Second, changes: []bool{true, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, c := threeMembers()
				u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: a.Group}, "b": {Group: b.Group}, "c": {Group: c.Group}}}
				var k cataloguer.Catalogue
				k.SetListUnavailable(true)
				setup := func(x *conductor.Conductor) {
					x.ObserveTerm(7)
					if tc.toldAt == 0 {
						x.ObserveTerm(8)
						return
					}
					time.AfterFunc(tc.toldAt, func() { x.ObserveTerm(8) })
				}
				var changes []bool
				runWithSetup(&k, 10*time.Second, u, lease{expired: true}, func(leading bool) { changes = append(changes, leading) }, setup, a, b, c)
				assert.Equal(t, tc.changes, changes)
			})
		})
	}
}

// An order carries the number of orders that the upstream has accepted, including
// those that its report does not show yet.
func TestOrderExpectsNumberOfAcceptedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ready := func(rank int) cataloguer.Membership {
			return cataloguer.Membership{Name: "g", Epoch: 5, Rank: rank, State: cataloguer.MemberReady, Model: "m"}
		}
		u := &upstreams{reports: map[string]cataloguer.Report{"a": {Group: ready(0), Orders: 4}}}
		runConductor(2*time.Second, u, cataloguer.Upstream{ID: "a", Group: ready(0)}, cataloguer.Upstream{ID: "b", Group: ready(1)}, cataloguer.Upstream{ID: "c", Group: ready(2)})
		opens := u.ordersTo(grouper.OperationOpen, "a")
		if assert.GreaterOrEqual(t, len(opens), 2) {
			assert.Equal(t, uint64(4), opens[0].ExpectedOrders)
			assert.Equal(t, uint64(5), opens[1].ExpectedOrders)
		}
	})
}

// A holder whose order was refused because of its fencing token gives no more orders,
// until it has renewed its lease.
func TestFencedHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ready := func(rank int) cataloguer.Membership {
			return cataloguer.Membership{Name: "g", Epoch: 5, Rank: rank, State: cataloguer.MemberReady, Model: "m"}
		}
		u := &upstreams{reports: make(map[string]cataloguer.Report), fenced: true}
		var list []cataloguer.Upstream
		for rank, id := range []string{"a", "b", "c"} {
			u.reports[id] = cataloguer.Report{Group: ready(rank)}
			list = append(list, cataloguer.Upstream{ID: id, Group: ready(rank)})
		}
		l := lease{renewedAt: &atomic.Pointer[time.Time]{}}
		var changes []bool
		go func() {
			time.Sleep(20 * time.Second)
			u.setFenced(false)
			now := time.Now()
			l.renewedAt.Store(&now)
		}()
		start := time.Now()
		runWithLease(30*time.Second, u, l, func(leading bool) { changes = append(changes, leading) }, list...)
		opens := u.ordersTo(grouper.OperationOpen, "a")
		assert.GreaterOrEqual(t, len(opens), 2)
		assert.Less(t, u.times[0].Sub(start), 2*time.Second)
		assert.GreaterOrEqual(t, u.times[1].Sub(start), 20*time.Second)
		assert.Equal(t, uint64(7), opens[0].FencingToken)
		assert.Equal(t, []bool{true, false, true}, changes)
	})
}
