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

// TestMain fixes the seed; a flag of the command line still goes first.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

// guard checks what must hold at any moment.
type guard struct {
	fleet       *fleet
	generations map[string]uint64
}

// check requires that no instance is in two replicas, that no two routable
// replicas share one, and that no generation shrinks.
func (g *guard) check(t require.TestingT) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	owner, routed := map[string]string{}, map[string]string{}
	for _, p := range g.fleet.placements() {
		require.GreaterOrEqual(t, p.GetGeneration(), g.generations[p.GetDomain()])
		g.generations[p.GetDomain()] = p.GetGeneration()
		for _, r := range p.GetReplicas() {
			routable := g.fleet.routable(r)
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

// sleep sleeps, and checks every tenth of a second.
func (g *guard) sleep(t require.TestingT, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(_sample) {
		g.check(t)
	}
}

// settled says that the groups have what they declare, and that no instance is
// in a state that its placement doesn't ask for.
func (f *fleet) settled(d validator.Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	have := map[string]int{}
	word := map[string]string{}
	for _, p := range f.placements() {
		for _, r := range p.GetReplicas() {
			if r.GetState() != wire.ReplicaState_REPLICA_STATE_SERVING || !f.routable(r) {
				return false
			}
			have[r.GetGroup()]++
			for _, m := range r.GetMembers() {
				word[m] = fmt.Sprint(r.GetName(), r.GetGeneration())
			}
		}
	}
	for n, e := range f.engines {
		if _, listed := f.list[n]; listed && e.order.Replica != "" && word[n] != fmt.Sprint(e.order.Replica, e.order.Generation) {
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

// bubble hides the test's deadline, which must not be asked for in virtual time.
type bubble struct{ rapid.TB }

// TestRandomHolders runs two placers that are frozen and thawed at random over
// engines that check fencing and ones that don't, with outages, lost answers and
// deaths; then all heals and must settle.
func TestRandomHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, randomHolders)
	})
}

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
	g := &guard{fleet: f, generations: map[string]uint64{}}
	for range rapid.IntRange(5, 25).Draw(t, "events") {
		f.disturb(t, all)
		g.sleep(t, time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause ms"))*time.Millisecond)
	}
	for _, p := range all {
		p.thaw()
	}
	f.change(func() { f.out, f.lose = false, 0 })
	f.on("", func(e *engine) { e.dead, e.hung, e.leaving = false, false, false })
	f.change(func() { f.relist() })
	for range 100 {
		g.sleep(t, 20*time.Second)
		if f.settled(d) {
			return
		}
	}
	f.change(func() { assert.Fail(t, "not settled", "%v\n%s", f.placements(), all[0].log.String()) })
}

// relist lists every instance in its own domain.
func (f *fleet) relist() {
	for n := range f.list {
		f.move(n, n[:2])
	}
}

func (f *fleet) disturb(t *rapid.T, all []*process) {
	p := rapid.SampledFrom(all).Draw(t, "process")
	n := fmt.Sprintf("f%d-%02d", rapid.IntRange(0, 1).Draw(t, "domain"), rapid.IntRange(0, 4).Draw(t, "instance"))
	switch rapid.SampledFrom([]string{"freeze", "thaw", "out", "in", "lose", "die", "restart", "hang", "resume", "move", "relist"}).Draw(t, "event") {
	case "freeze":
		p.freeze()
	case "thaw":
		p.thaw()
	case "out":
		f.change(func() { f.out = true })
	case "in":
		f.change(func() { f.out = false })
	case "lose":
		f.change(func() { f.lose = 2 })
	case "die":
		f.on(n, func(e *engine) { e.dead = true })
	case "restart":
		f.on(n, func(e *engine) { e.restart() })
	case "hang":
		f.on(n, func(e *engine) { e.hung = true })
	case "resume":
		f.on(n, func(e *engine) { e.hung = false })
	case "move":
		f.change(func() { f.move(n, "f1") })
	case "relist":
		f.change(func() { f.relist() })
	}
}

// TestLateWrite freezes a holder in a write that gives an instance to one
// domain; the next holder, whose list names the instance in another one, places
// it there. The late write must not take effect.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 2, true, time.Second)
		d := validator.Document{Groups: groups(1, 1, 2)}
		g := &guard{fleet: f, generations: map[string]uint64{}}
		// The list names f1-00 in f0 at first; f0-01 is dead.
		f.on("f0-01", func(e *engine) { e.dead = true })
		f.change(func() { f.move("f1-00", "f0") })
		p1 := f.start("p1")
		defer p1.stop()
		time.Sleep(4 * time.Second)
		p1.freezeAt("write", "placement/")
		p1.configure(t, 1, d)
		time.Sleep(time.Second)
		f.change(func() { f.move("f1-00", "f1") })
		p2 := f.start("p2")
		defer p2.stop()
		p2.configure(t, 1, d)
		g.sleep(t, 20*time.Second)
		require.True(t, f.settled(d))
		p1.thaw()
		g.sleep(t, 20*time.Second)
		require.True(t, f.settled(d))
	})
}

// TestLateOrder freezes a holder between its last look at the lease and the
// order. The engines that ignore fencing obey it late: the replica is not
// routable then, and is loaded anew under a newer generation.
func TestLateOrder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 3, fencing, time.Second)
				d := validator.Document{Groups: groups(1, 1, 2)}
				g := &guard{fleet: f, generations: map[string]uint64{}}
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
				g.sleep(t, 60*time.Second)
				require.True(t, f.settled(next))
				before := f.placements()[0].GetGeneration()
				p1.thaw()
				time.Sleep(2 * _engineLatency)
				f.change(func() { assert.Equal(t, fencing, f.routable(f.placements()[0].GetReplicas()[0])) })
				g.sleep(t, 20*time.Second)
				require.True(t, f.settled(next))
				assert.Equal(t, fencing, before == f.placements()[0].GetGeneration())
			})
		})
	}
}
