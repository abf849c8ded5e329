package placer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// TestMain fixes the seed and the number of checks of rapid. Flags on the command
// line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

// invariantChecker checks the invariants that must hold at any time.
type invariantChecker struct {
	fleet       *fleet
	generations map[string]uint64
}

// check requires that no instance is a member of two replicas, that no two
// routable replicas share an instance, and that no domain's generation
// decreases.
func (c *invariantChecker) check(t require.TestingT) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	owner, routed := map[string]string{}, map[string]string{}
	for _, p := range c.fleet.placements() {
		require.GreaterOrEqual(t, p.GetGeneration(), c.generations[p.GetDomain()])
		c.generations[p.GetDomain()] = p.GetGeneration()
		for _, r := range p.GetReplicas() {
			routable := c.fleet.routable(r)
			for _, m := range r.GetMembers() {
				require.Empty(t, owner[m], "%s is in %s too", m, r.GetName())
				owner[m] = r.GetName()
				require.False(t, routable && routed[m] != "", "%s is routable in two replicas", m)
				if routable {
					routed[m] = r.GetName()
				}
			}
		}
	}
}

// sleep sleeps for d, and checks the invariants every _sampleInterval.
func (c *invariantChecker) sleep(t require.TestingT, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(_sampleInterval) {
		c.check(t)
	}
}

// settled reports whether all groups have their declared replicas, routable and
// serving, and every listed instance with a replica accepted the order of its
// placement.
func (f *fleet) settled(d validator.Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	have := map[string]int{}
	expected := map[string]string{}
	for _, p := range f.placements() {
		for _, r := range p.GetReplicas() {
			if r.GetState() != wire.ReplicaState_REPLICA_STATE_SERVING || !f.routable(r) {
				return false
			}
			have[r.GetGroup()]++
			for _, m := range r.GetMembers() {
				expected[m] = fmt.Sprint(r.GetName(), r.GetGeneration())
			}
		}
	}
	for n, e := range f.engines {
		if _, listed := f.list[n]; listed && e.order.Replica != "" && expected[n] != fmt.Sprint(e.order.Replica, e.order.Generation) {
			return false
		}
	}
	for n, g := range d.Groups {
		if have[n] != g.Replicas {
			return false
		}
	}
	return true
}

// withoutDeadline hides the test's Deadline method from rapid, since it must not
// be called in a synctest bubble, where time is virtual.
type withoutDeadline struct{ rapid.TB }

// TestRandomHolders runs two placers that are frozen and thawed at random, over
// engines that check fencing and engines that don't. There are platform outages,
// lost responses and instance deaths. Once all faults have ended, the fleet must
// settle.
func TestRandomHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, randomHolders)
	})
}

// randomHolders is one run of TestRandomHolders.
func randomHolders(t *rapid.T) {
	f := newFleet(2, 5, rapid.Bool().Draw(t, "fencing"), 3*time.Second)
	d := validator.Document{Groups: groups(2, 2, 2)}
	var all []*process
	for _, n := range []string{"p1", "p2"} {
		p := f.start(n)
		defer p.stop()
		defer p.thaw()
		p.configure(t, 1, d)
		all = append(all, p)
		time.Sleep(137 * time.Millisecond)
	}
	checker := &invariantChecker{fleet: f, generations: map[string]uint64{}}
	for range rapid.IntRange(5, 25).Draw(t, "events") {
		f.injectRandomFault(t, all)
		checker.sleep(t, time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause ms"))*time.Millisecond)
	}
	for _, p := range all {
		p.thaw()
	}
	f.withLock(func() { f.unavailable, f.responsesToLose = false, 0 })
	f.changeEngines("", func(e *engine) { e.dead, e.hung, e.leaving = false, false, false })
	f.withLock(func() { f.relist() })
	for range 100 {
		checker.sleep(t, 20*time.Second)
		if f.settled(d) {
			return
		}
	}
	f.withLock(func() { assert.Fail(t, "not settled", "%v\n%s", f.placements(), all[0].log.String()) })
}

// relist moves every instance back to its own domain in the platform's list. The
// caller holds the lock.
func (f *fleet) relist() {
	for n := range f.list {
		f.move(n, n[:2])
	}
}

// injectRandomFault applies one random fault or recovery.
func (f *fleet) injectRandomFault(t *rapid.T, all []*process) {
	p := rapid.SampledFrom(all).Draw(t, "process")
	n := fmt.Sprintf("f%d-%02d", rapid.IntRange(0, 1).Draw(t, "domain"), rapid.IntRange(0, 4).Draw(t, "instance"))
	switch rapid.SampledFrom([]string{"freeze", "thaw", "out", "in", "lose", "die", "restart", "hang", "resume", "move", "relist"}).Draw(t, "event") {
	case "freeze":
		p.freeze()
	case "thaw":
		p.thaw()
	case "out":
		f.withLock(func() { f.unavailable = true })
	case "in":
		f.withLock(func() { f.unavailable = false })
	case "lose":
		f.withLock(func() { f.responsesToLose = 2 })
	case "die":
		f.changeEngines(n, func(e *engine) { e.dead = true })
	case "restart":
		f.changeEngines(n, func(e *engine) { e.restart() })
	case "hang":
		f.changeEngines(n, func(e *engine) { e.hung = true })
	case "resume":
		f.changeEngines(n, func(e *engine) { e.hung = false })
	case "move":
		f.withLock(func() { f.move(n, "f1") })
	case "relist":
		f.withLock(func() { f.relist() })
	}
}

// TestLateWrite freezes a holder in a write that places an instance in one
// domain. The platform's list then names the instance in another domain, where
// the next holder places it. The late write of the first holder must not
// succeed.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 2, true, time.Second)
		d := validator.Document{Groups: groups(1, 1, 2)}
		checker := &invariantChecker{fleet: f, generations: map[string]uint64{}}
		// At first the list names f1-00 in f0, where f0-01 is dead.
		f.changeEngines("f0-01", func(e *engine) { e.dead = true })
		f.withLock(func() { f.move("f1-00", "f0") })
		p1 := f.start("p1")
		defer p1.stop()
		time.Sleep(4 * time.Second)
		p1.freezeAt("write", "placement/")
		p1.configure(t, 1, d)
		time.Sleep(time.Second)
		f.withLock(func() { f.move("f1-00", "f1") })
		p2 := f.start("p2")
		defer p2.stop()
		p2.configure(t, 1, d)
		checker.sleep(t, 20*time.Second)
		require.True(t, f.settled(d))
		p1.thaw()
		checker.sleep(t, 20*time.Second)
		require.True(t, f.settled(d))
	})
}

// TestLateOrder freezes a holder between its last check of the lease and the
// sending of an order. Engines that don't check fencing accept that late order:
// the replica is not routable then, and is loaded again under a newer
// generation.
func TestLateOrder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 3, fencing, time.Second)
				d := validator.Document{Groups: groups(1, 1, 2)}
				checker := &invariantChecker{fleet: f, generations: map[string]uint64{}}
				p1 := f.start("p1")
				defer p1.stop()
				time.Sleep(4 * time.Second)
				p1.freezeAt("order", "f0-00")
				p1.configure(t, 1, d)
				time.Sleep(time.Second)
				p2 := f.start("p2")
				defer p2.stop()
				next := validator.Document{Groups: map[string]validator.Group{"g0": {Model: "g0", Version: "v2", DataCentre: "dc", Replicas: 1, Members: 2}}}
				p2.configure(t, 2, next)
				checker.sleep(t, 60*time.Second)
				require.True(t, f.settled(next))
				before := f.placements()[0].GetGeneration()
				p1.thaw()
				time.Sleep(2 * _engineLatency)
				f.withLock(func() { assert.Equal(t, fencing, f.routable(f.placements()[0].GetReplicas()[0])) })
				checker.sleep(t, 20*time.Second)
				require.True(t, f.settled(next))
				assert.Equal(t, fencing, before == f.placements()[0].GetGeneration())
			})
		})
	}
}
