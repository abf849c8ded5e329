package server_test

import (
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// gate stands between an entry and everything outside of it. A closed gate is a
// paused process: what it sends goes out after it opens, and what was answered
// arrives then. A dead gate never opens.
type gate struct {
	store *platform
	to    *services

	mu     sync.Mutex
	open   chan struct{} // nil where the gate is open
	buried bool
	// passes is how many passes there are before the gate closes; 0 is no bound.
	passes int
}

// freezeAfter closes the gate after some passes.
func (g *gate) freezeAfter(passes int) { g.passes = passes }

func (g *gate) pass() bool {
	g.mu.Lock()
	if g.passes > 0 {
		if g.passes--; g.passes == 0 {
			g.open = make(chan struct{})
			g.mu.Unlock()
			return true
		}
	}
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.buried
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(chan struct{})
	}
}

// thaw opens the gate; a buried process does nothing any more.
func (g *gate) thaw(buried bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.buried = g.buried || buried
	if g.open != nil {
		close(g.open)
		g.open = nil
	}
}

func (g *gate) Get(ctx context.Context, key string) (storer.Object, error) {
	if !g.pass() {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, err := g.store.Get(ctx, key)
	g.pass()
	return o, err
}

func (g *gate) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	if !g.pass() {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, err := g.store.Watch(ctx, key, after, wait)
	g.pass()
	return o, err
}

func (g *gate) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return g.Update(ctx, key, 0, value)
}

func (g *gate) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	if !g.pass() {
		return 0, storer.ErrUnavailable
	}
	v, err := g.store.write(key, version, value)
	g.pass()
	return v, err
}

func (g *gate) Send(ctx context.Context, c serviceclient.Call) (serviceclient.Result, error) {
	if !g.pass() {
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, context.Canceled
	}
	r, err := g.to.Send(ctx, c)
	g.pass()
	return r, err
}

// raceStep is one step of a race.
type raceStep struct {
	Do    string
	Entry int
	Key   int
	Body  bool // another body
	Fault serviceFault
	Wait  time.Duration
}

const (
	raceEntries = 3
	raceKeys    = 2
)

func drawRace(t *rapid.T) []raceStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) raceStep {
		return raceStep{
			Do: rapid.SampledFrom([]string{
				"call", "call", "call", "call", "wait", "wait", "lose", "late", "out", "in", "fault", "freeze", "thaw", "kill",
			}).Draw(t, "do"),
			Entry: rapid.IntRange(0, raceEntries-1).Draw(t, "entry"),
			Key:   rapid.IntRange(0, raceKeys-1).Draw(t, "key"),
			Body:  rapid.IntRange(0, 9).Draw(t, "body") == 0,
			Fault: rapid.SampledFrom([]serviceFault{
				serviceFine, serviceFine, serviceAway, serviceRefuses, serviceCutsBefore, serviceCutsAfter, serviceSlow, serviceFails,
			}).Draw(t, "fault"),
			Wait: time.Duration(rapid.IntRange(1, 12_000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 1, 40).Draw(t, "steps")
}

// race is one run of steps.
type race struct {
	store   *platform
	to      *services
	gates   []*gate
	entries []*entry
	all     []*entry
	group   sync.WaitGroup

	mu      sync.Mutex
	answers map[string]*httptest.ResponseRecorder // by request
	keys    map[string]string
	calls   int
}

func (r *race) start(i int) {
	r.gates[i] = &gate{store: r.store, to: r.to}
	r.entries[i] = newEntry(fmt.Sprintf("n%d", i), r.gates[i], r.gates[i], nil)
	r.all = append(r.all, r.entries[i])
}

func (r *race) call(s raceStep) string {
	r.calls++
	o := callOptions{key: fmt.Sprintf("k%d", s.Key), request: fmt.Sprint(r.calls)}
	if s.Body {
		o.body = "another"
	}
	e := r.entries[s.Entry]
	r.group.Go(func() {
		w := e.call(context.Background(), o)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.answers[o.request], r.keys[o.request] = w, o.key
	})
	return o.request
}

func (r *race) do(s raceStep) {
	switch s.Do {
	case "call":
		r.call(s)
	case "wait":
		time.Sleep(s.Wait)
	case "freeze":
		r.gates[s.Entry].freeze()
	case "thaw":
		r.gates[s.Entry].thaw(false)
	case "kill":
		r.gates[s.Entry].thaw(true)
		r.start(s.Entry)
	case "fault":
		r.to.mu.Lock()
		r.to.faults = map[string]serviceFault{"10.0.0.1:80": s.Fault, "10.0.0.2:80": s.Fault}
		r.to.delay = s.Wait / 8
		r.to.mu.Unlock()
	default:
		r.store.mu.Lock()
		switch s.Do {
		case "lose":
			r.store.lose = 1 + int(s.Wait/time.Second)/4
		case "late":
			r.store.late = 1 + int(s.Wait/time.Second)/4
		default:
			r.store.out = s.Do == "out"
		}
		r.store.mu.Unlock()
	}
}

// check returns what must never be, empty where all holds.
func (r *race) check() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to.mu.Lock()
	defer r.to.mu.Unlock()
	for k, n := range r.to.runs {
		if n > 1 {
			return fmt.Sprintf("%s ran %d times", k, n)
		}
	}
	for request, w := range r.answers {
		key := r.keys[request]
		switch w.Header().Get("Lb-Outcome") {
		case "not-run":
			if r.to.ranFor[request] > 0 {
				return fmt.Sprintf("request %s was told not-run, and ran", request)
			}
		case "ran":
			if r.to.runs[key] != 1 || w.Body.String() != "receipt of "+key {
				return fmt.Sprintf("request %s was told ran %q; %s ran %d times", request, w.Body.String(), key, r.to.runs[key])
			}
		case "unknown":
		default:
			return fmt.Sprintf("request %s was told no outcome: %d", request, w.Code)
		}
	}
	return ""
}

// heal ends every fault and waits until nothing is under way.
func (r *race) heal() {
	for _, g := range r.gates {
		g.thaw(false)
	}
	r.store.mu.Lock()
	r.store.out, r.store.lose, r.store.late = false, 0, 0
	r.store.mu.Unlock()
	r.to.mu.Lock()
	r.to.faults, r.to.delay = nil, 0
	r.to.mu.Unlock()
	time.Sleep(time.Minute)
}

// run returns what went wrong, empty where all held.
func (r *race) run(steps []raceStep) string {
	killed := false
	for i := range raceEntries {
		r.start(i)
	}
	for i, s := range steps {
		r.do(s)
		killed = killed || s.Do == "kill"
		synctest.Wait()
		if bad := r.check(); bad != "" {
			return fmt.Sprintf("after step %d: %s", i, bad)
		}
	}
	r.heal()
	for k := range raceKeys {
		before := r.openOutcome(k)
		request := r.call(raceStep{Key: k})
		time.Sleep(time.Minute)
		if bad := r.check(); bad != "" {
			return "at the end: " + bad
		}
		r.mu.Lock()
		told := r.answers[request].Header().Get("Lb-Outcome") + " " + r.answers[request].Body.String()
		r.mu.Unlock()
		if !killed && !before && told != fmt.Sprintf("ran receipt of k%d", k) && r.answers[request].Code != 422 {
			return fmt.Sprintf("k%d was never sent without a whole answer, and its last call was told %s", k, told)
		}
	}
	return ""
}

// openOutcome says that a caller was told unknown, so that the key may rightly
// stay without an answer.
func (r *race) openOutcome(k int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for request, w := range r.answers {
		if r.keys[request] == fmt.Sprintf("k%d", k) && w.Header().Get("Lb-Outcome") == "unknown" {
			return true
		}
	}
	return false
}

func (r *race) close() {
	r.heal()
	for _, e := range r.all {
		_ = e.recorder.Close()
	}
	r.group.Wait()
}

// TestKeyedRaces races entries over two keys through lost and late answers,
// outages, pauses, deaths and faults of the service. After every step no key
// ran twice, and no request that was told not-run has run.
func TestKeyedRaces(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1207"))
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawRace(rt)
		bad := ""
		synctest.Test(t, func(*testing.T) {
			r := &race{
				store: &platform{}, to: &services{}, gates: make([]*gate, raceEntries), entries: make([]*entry, raceEntries),
				answers: make(map[string]*httptest.ResponseRecorder), keys: make(map[string]string),
			}
			bad = r.run(steps)
			r.close()
		})
		if bad != "" {
			rt.Fatal(bad)
		}
	})
}
