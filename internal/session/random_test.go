package session_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

var (
	_firstSeed = flag.Uint64("first-seed", 1, "first seed of the random sessions")
	_seeds     = flag.Uint64("seeds", 8, "number of random sessions")
)

const (
	_randomSteps = 60
	_callerKey   = "acme-key"
	_healTime    = 90 * time.Second
	// _patchTimeout is how long an operator waits.
	_patchTimeout = 10 * time.Second
)

// _randomGroup has two groups in two data centres, and one service.
const _randomGroup = `{"organisations":{"acme":{"keys_sha256":["%s"]}},
 "groups":{"forms":{"model":"form-assistant","version":"v1","data_centre":"qld-bne","replicas":2,"members":2},
           "more":{"model":"form-assistant","version":"v1","data_centre":"qld-cns","replicas":1,"members":2}},
 "services":{"lodgement":{"unrepeatable":true,"upstreams":{"s1":{"address":"%s","data_centre":"qld-bne"}}}},
 "policy":{"probe_interval_ms":200}}`

// chaos runs one random session and keeps what the invariants need.
type chaos struct {
	t      *testing.T
	world  *world
	random *rand.Rand
	next   int
	// drafts and keyed are the calls begun, with the entry that took each.
	drafts map[string]string
	keyed  map[string][]string // calls by idempotency key
	down   map[string]bool
	// crashed are the entries that were killed at any time.
	crashed map[string]bool
	numbers map[string]uint64
	highest map[string]uint64 // generation by domain
	steps   []string
}

func TestRandomSessions(t *testing.T) {
	for seed := *_firstSeed; seed < *_firstSeed+*_seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed) })
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	c := &chaos{
		t: t, world: newWorld(), random: rand.New(rand.NewPCG(seed, 0)), drafts: map[string]string{},
		keyed: map[string][]string{}, down: map[string]bool{}, crashed: map[string]bool{},
		numbers: map[string]uint64{}, highest: map[string]uint64{},
	}
	defer c.world.close()
	defer func() {
		if t.Failed() {
			t.Logf("steps of seed %d:\n%s", seed, strings.Join(c.steps, "\n"))
		}
	}()
	c.build()
	for range _randomSteps {
		c.step()
		time.Sleep(time.Duration(50+c.random.IntN(1500)) * time.Millisecond)
		c.check()
	}
	c.heal()
	c.judge()
}

func (c *chaos) build() {
	w := c.world
	for i, place := range [][2]string{{"qld-bne", "f1"}, {"qld-bne", "f1"}, {"qld-bne", "f1"}, {"qld-bne", "f2"}, {"qld-bne", "f2"}, {"qld-cns", "f3"}, {"qld-cns", "f3"}} {
		w.engine(fmt.Sprintf("e%d", i+1), place[0], place[1], i != 1)
	}
	w.service("s1", "qld-bne")
	for _, p := range []struct {
		role loader.Role
		name string
		dc   string
	}{
		{loader.RolePlacer, "p1", "qld-bne"},
		{loader.RolePlacer, "p2", "qld-bne"},
		{loader.RolePlacer, "p3", "qld-cns"},
		{loader.RoleEntry, "n1", "qld-bne"},
		{loader.RoleEntry, "n2", "qld-tsv"},
		{loader.RoleEntry, "n3", "qld-cns"},
	} {
		require.NoError(c.t, w.process(p.role, p.name, p.dc))
	}
	time.Sleep(time.Second)
	c.patch("n1", fmt.Sprintf(_randomGroup, authenticator.Digest(_callerKey), w.hosts["s1"].ip+_enginePort))
	time.Sleep(15 * time.Second)
}

func (c *chaos) patch(entry, merge string) {
	c.next++
	client := lycheebarrow.Client{Address: c.world.hosts[entry].ip + _operatorPort, Token: _operator, HTTP: c.world.client}
	// The process may be frozen.
	ctx, cancel := context.WithTimeout(context.Background(), _patchTimeout)
	defer cancel()
	now, err := client.Configuration(ctx)
	if err != nil {
		return
	}
	base, _ := strconv.ParseUint(now.Number, 10, 64)
	_, _ = client.Patch(ctx, lycheebarrow.Patch{
		ID: fmt.Sprintf("patch-%d", c.next), Base: base, Author: "ann", Reason: "random", Merge: []byte(merge),
	})
}

func (c *chaos) pick(names ...string) string { return names[c.random.IntN(len(names))] }

// step begins work, and does or undoes one fault.
func (c *chaos) step() {
	w := c.world
	engine := c.pick("e1", "e2", "e3", "e4", "e5", "e6", "e7")
	process := c.pick("p1", "p2", "p3", "n1", "n2", "n3")
	act := []struct {
		name string
		run  func()
	}{
		{"draft", c.draft},
		{"draft", c.draft},
		{"draft", c.draft},
		{"draft", c.draft},
		{"call", c.call},
		{"call", c.call},
		{"call", c.call},
		{"crash " + engine, func() { c.crash(engine) }},
		{"crash " + process, func() { c.crash(process) }},
		{"freeze " + engine, func() { w.network.Hold(w.hosts[engine].ip, w.hosts[engine].ip) }},
		{"thaw all", c.thaw},
		{"thaw all", c.thaw},
		{"freeze " + process, func() { w.network.Hold(w.hosts[process].ip, w.hosts[process].ip) }},
		{"restart all", c.restart},
		{"restart all", c.restart},
		{"platform out", func() { w.platform.SetFaults(standin.PlatformFaults{Out: true}) }},
		{"platform loses answers", func() { w.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 2}) }},
		{"platform slow", func() { w.platform.SetFaults(standin.PlatformFaults{DelayMS: 400}) }},
		{"platform well", func() { w.platform.SetFaults(standin.PlatformFaults{}) }},
		{"platform well", func() { w.platform.SetFaults(standin.PlatformFaults{}) }},
		{"cut qld-cns", func() { w.cut("qld-cns", w.network.Hold) }},
		{"mend qld-cns", func() { w.cut("qld-cns", w.network.Release) }},
		{"engine faults " + engine, func() { c.engineFault(engine) }},
		{"engine well " + engine, func() { c.fault(engine, standin.EngineFaults{}) }},
		{"service faults", c.serviceFault},
		{"patch", func() { c.patch("n1", fmt.Sprintf(`{"organisations":{"acme":{"weight":%d}}}`, 1+c.random.IntN(9))) }},
	}
	a := act[c.random.IntN(len(act))]
	c.steps = append(c.steps, fmt.Sprintf("%s %s", time.Now().Format("04:05.000"), a.name))
	a.run()
}

func (c *chaos) fault(engine string, f standin.EngineFaults) {
	c.world.hosts[engine].handler.(*standin.Engine).SetFaults(f)
}

func (c *chaos) engineFault(engine string) {
	faults := []standin.EngineFaults{
		{CutAfterTokens: 5}, {EndAfterTokens: 9}, {CrossHeaders: true}, {CrossChunks: true}, {Repeat: true}, {SlowFactor: 5}, {Leaving: true},
	}
	c.fault(engine, faults[c.random.IntN(len(faults))])
}

func (c *chaos) serviceFault() {
	faults := []standin.ServiceFaults{{}, {LoseAnswer: true}, {Refuse: true}, {CutBeforeRun: true}, {DelayMS: 900}}
	c.world.hosts["s1"].handler.(*standin.Service).SetFaults(faults[c.random.IntN(len(faults))])
}

func (c *chaos) crash(name string) {
	if c.down[name] {
		return
	}
	c.down[name], c.crashed[name] = true, true
	c.world.kill(name)
}

func (c *chaos) thaw() {
	for _, h := range c.world.hosts {
		c.world.network.Release(h.ip, h.ip)
	}
}

func (c *chaos) restart() {
	for _, n := range c.world.names {
		if c.down[n] {
			delete(c.down, n)
			delete(c.numbers, n)
			require.NoError(c.t, c.world.restart(n))
		}
	}
}

func (c *chaos) draft() {
	c.next++
	name, entry := fmt.Sprintf("d%d", c.next), c.pick("n1", "n2", "n3")
	c.drafts[name] = entry
	draftCommand(c.random.IntN(3) > 0)(nil, c.world, []string{name, entry, _callerKey, strconv.Itoa(1 + c.random.IntN(200)), name, c.pick("visa form", "የውሃ ማስታወቂያ")})
}

// call sends a keyed call, sometimes with a key used before.
func (c *chaos) call() {
	c.next++
	name, key := fmt.Sprintf("c%d", c.next), fmt.Sprintf("k%d", c.next-c.random.IntN(4))
	c.keyed[key] = append(c.keyed[key], name)
	callCommand(nil, c.world, []string{name, c.pick("n1", "n2", "n3"), _callerKey, key, "lodgement", "fee=" + key})
}

// check tests what must hold at every moment.
func (c *chaos) check() {
	objects := c.world.platform.Objects(placementtracker.KeyPrefix)
	owner := make(map[string]string)
	for key, value := range objects {
		var p wire.Placement
		require.NoError(c.t, protojson.Unmarshal(value, &p))
		assert.GreaterOrEqual(c.t, p.GetGeneration(), c.highest[key], "generation of %s", key)
		c.highest[key] = p.GetGeneration()
		for _, r := range p.GetReplicas() {
			for _, m := range r.GetMembers() {
				assert.Empty(c.t, owner[m], "%s is in two replicas", m)
				owner[m] = r.GetName()
			}
		}
	}
	for _, n := range []string{"n1", "n2", "n3", "p1", "p2", "p3"} {
		if h := c.world.hosts[n]; h.app != nil {
			number := lastNumber(h)
			assert.GreaterOrEqual(c.t, number, c.numbers[n], "configuration of %s", n)
			c.numbers[n] = number
		}
	}
}

// lastNumber returns the configuration number that a process last put in force.
func lastNumber(h *host) uint64 {
	lines := strings.Split(strings.TrimSpace(h.events("configuration")), "\n")
	n, _ := strconv.ParseUint(strings.TrimPrefix(lines[len(lines)-1], "configuration number="), 10, 64)
	return n
}

// heal ends all faults and waits until the system has recovered.
func (c *chaos) heal() {
	c.steps = append(c.steps, time.Now().Format("04:05.000")+" heal")
	c.thaw()
	c.world.cut("qld-cns", c.world.network.Release)
	c.world.platform.SetFaults(standin.PlatformFaults{})
	c.world.hosts["s1"].handler.(*standin.Service).SetFaults(standin.ServiceFaults{})
	for i := range 7 {
		c.fault(fmt.Sprintf("e%d", i+1), standin.EngineFaults{})
	}
	c.restart()
	time.Sleep(_healTime)
	for _, n := range []string{"n1", "n2", "n3"} {
		c.next++
		name := fmt.Sprintf("d%d", c.next)
		draftCommand(true)(nil, c.world, []string{name, n, _callerKey, "40", "after"})
		assert.Equal(c.t, "200 whole and right", <-c.world.calls[name], "a draft of %s after all faults ended", n)
	}
}

// judge tests every caller's answer.
func (c *chaos) judge() {
	seen := make(map[string]int)
	defer func() { c.t.Logf("drafts by answer: %v; keys: %d", seen, len(c.keyed)) }()
	for name, entry := range c.drafts {
		got := <-c.world.calls[name]
		whole := got == "200 whole and right"
		seen[got]++
		refused := strings.HasPrefix(got, strconv.Itoa(http.StatusServiceUnavailable)) || strings.HasPrefix(got, strconv.Itoa(http.StatusTooManyRequests)) ||
			strings.HasPrefix(got, strconv.Itoa(http.StatusBadGateway))
		lost := c.crashed[entry] && (got == "no answer" || strings.HasPrefix(got, "200 cut after"))
		assert.True(c.t, whole || refused || lost, "draft %s at %s: %s", name, entry, got)
	}
	runs := c.world.hosts["s1"].handler.(*standin.Service).Runs()
	for key, calls := range c.keyed {
		var answers []string
		for _, n := range calls {
			answers = append(answers, <-c.world.calls[n])
		}
		assert.LessOrEqual(c.t, runs[key], 1, "key %s ran more than once", key)
		notRun := !slices.ContainsFunc(answers, func(a string) bool { return !strings.Contains(a, "outcome=not-run") })
		if notRun {
			assert.Zero(c.t, runs[key], "key %s: every answer said not-run: %v", key, answers)
		}
		if slices.ContainsFunc(answers, func(a string) bool { return strings.HasPrefix(a, "200 ") }) {
			assert.Equal(c.t, 1, runs[key], "key %s: an answer said that it ran: %v", key, answers)
		}
	}
}
