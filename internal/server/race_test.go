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

// gate passes on the calls of an entry to the platform and to services, so that
// a test can pause and kill the entry's process. While the process is paused, its
// calls and the responses to them wait until resume. A killed process sends
// nothing any more.
type gate struct {
	store    *fakePlatform
	services *fakeServices

	mu      sync.Mutex
	resumed chan struct{} // closed by resume; nil while the process is not paused
	killed  bool
	// messagesLeft is how many more calls and responses pass until the process
	// pauses; 0 means no limit.
	messagesLeft int
}

// pauseAfter pauses the process right after the given number of calls and
// responses.
func (g *gate) pauseAfter(messages int) { g.messagesLeft = messages }

// waitWhilePaused delays a call or a response until the process is not paused, and
// reports whether the process is still alive.
func (g *gate) waitWhilePaused() bool {
	g.mu.Lock()
	if g.messagesLeft > 0 {
		if g.messagesLeft--; g.messagesLeft == 0 {
			g.resumed = make(chan struct{})
			g.mu.Unlock()
			return true
		}
	}
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.killed
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

// resume ends the pause. If killed is true, it kills the process instead.
func (g *gate) resume(killed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = g.killed || killed
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *gate) Get(ctx context.Context, key string) (storer.Object, error) {
	if !g.waitWhilePaused() {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, err := g.store.Get(ctx, key)
	g.waitWhilePaused()
	return o, err
}

func (g *gate) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	if !g.waitWhilePaused() {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, err := g.store.Watch(ctx, key, after, wait)
	g.waitWhilePaused()
	return o, err
}

func (g *gate) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return g.Update(ctx, key, 0, value)
}

func (g *gate) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	if !g.waitWhilePaused() {
		return 0, storer.ErrUnavailable
	}
	v, err := g.store.write(key, version, value)
	g.waitWhilePaused()
	return v, err
}

func (g *gate) Send(ctx context.Context, c serviceclient.Call) (serviceclient.Result, error) {
	if !g.waitWhilePaused() {
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, context.Canceled
	}
	r, err := g.services.Send(ctx, c)
	g.waitWhilePaused()
	return r, err
}

// raceStep is one step of a race. Its fields are exported so that rapid prints
// them.
type raceStep struct {
	// Do is the action of the step. "lose" loses the responses to the platform's next
	// writes, "late" delays these writes, and "out" and "in" begin and end an outage
	// of the platform.
	Do        string
	Entry     int
	Key       int
	OtherBody bool // send another body than usual
	Fault     serviceFault
	// Wait is how long "wait" waits. It also sets the delay of the service with "fault",
	// and the number of writes with "lose" and "late".
	Wait time.Duration
}

const (
	_raceEntries = 3
	_raceKeys    = 2
)

// drawRace draws the steps of a race.
func drawRace(t *rapid.T) []raceStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) raceStep {
		return raceStep{
			Do: rapid.SampledFrom([]string{
				"call", "call", "call", "call", "wait", "wait", "lose", "late", "out", "in", "fault", "pause", "resume", "kill",
			}).Draw(t, "do"),
			Entry:     rapid.IntRange(0, _raceEntries-1).Draw(t, "entry"),
			Key:       rapid.IntRange(0, _raceKeys-1).Draw(t, "key"),
			OtherBody: rapid.IntRange(0, 9).Draw(t, "body") == 0,
			Fault: rapid.SampledFrom([]serviceFault{
				_serviceHealthy, _serviceHealthy, _serviceUnreachable, _serviceRefuses, _serviceCutsBefore, _serviceCutsAfter, _serviceSlow, _serviceFails,
			}).Draw(t, "fault"),
			Wait: time.Duration(rapid.IntRange(1, 12_000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 1, 40).Draw(t, "steps")
}

// race runs steps against several entries that share a platform and services.
type race struct {
	store    *fakePlatform
	services *fakeServices
	gates    []*gate
	entries  []*entry
	started  []*entry // including killed ones
	group    sync.WaitGroup

	mu        sync.Mutex
	responses map[string]*httptest.ResponseRecorder // by the test's request id
	keys      map[string]string                     // by the test's request id
	calls     int
}

// start starts entry i, in place of a killed one if there is one.
func (r *race) start(i int) {
	r.gates[i] = &gate{store: r.store, services: r.services}
	r.entries[i] = newEntry(fmt.Sprintf("n%d", i), r.gates[i], r.gates[i], nil)
	r.started = append(r.started, r.entries[i])
}

// call sends the call of a step in the background, and returns its request id.
func (r *race) call(s raceStep) string {
	r.calls++
	o := callOptions{key: fmt.Sprintf("k%d", s.Key), request: fmt.Sprint(r.calls)}
	if s.OtherBody {
		o.body = "another"
	}
	e := r.entries[s.Entry]
	r.group.Go(func() {
		w := e.call(context.Background(), o)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.responses[o.request], r.keys[o.request] = w, o.key
	})
	return o.request
}

// apply performs one step.
func (r *race) apply(s raceStep) {
	switch s.Do {
	case "call":
		r.call(s)
	case "wait":
		time.Sleep(s.Wait)
	case "pause":
		r.gates[s.Entry].pause()
	case "resume":
		r.gates[s.Entry].resume(false)
	case "kill":
		r.gates[s.Entry].resume(true)
		r.start(s.Entry)
	case "fault":
		r.services.mu.Lock()
		r.services.faults = map[string]serviceFault{"10.0.0.1:80": s.Fault, "10.0.0.2:80": s.Fault}
		r.services.delay = s.Wait / 8
		r.services.mu.Unlock()
	default:
		r.store.mu.Lock()
		switch s.Do {
		case "lose":
			r.store.loseResponses = 1 + int(s.Wait/time.Second)/4
		case "late":
			r.store.delayWrites = 1 + int(s.Wait/time.Second)/4
		default:
			r.store.unavailable = s.Do == "out"
		}
		r.store.mu.Unlock()
	}
}

// findViolation returns a description of a broken guarantee, or an empty string.
func (r *race) findViolation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services.mu.Lock()
	defer r.services.mu.Unlock()
	for k, n := range r.services.runsByKey {
		if n > 1 {
			return fmt.Sprintf("%s ran %d times", k, n)
		}
	}
	for request, w := range r.responses {
		key := r.keys[request]
		switch w.Header().Get("Lb-Outcome") {
		case "not-run":
			if r.services.runsByRequest[request] > 0 {
				return fmt.Sprintf("request %s was told not-run but ran", request)
			}
		case "ran":
			if r.services.runsByKey[key] != 1 || w.Body.String() != "receipt of "+key {
				return fmt.Sprintf("request %s was told ran %q; %s ran %d times", request, w.Body.String(), key, r.services.runsByKey[key])
			}
		case "unknown":
		default:
			return fmt.Sprintf("request %s was told no outcome: %d", request, w.Code)
		}
	}
	return ""
}

// clearFaults ends every fault and pause, and waits until no request is in
// flight.
func (r *race) clearFaults() {
	for _, g := range r.gates {
		g.resume(false)
	}
	r.store.mu.Lock()
	r.store.unavailable, r.store.loseResponses, r.store.delayWrites = false, 0, 0
	r.store.mu.Unlock()
	r.services.mu.Lock()
	r.services.faults, r.services.delay = nil, 0
	r.services.mu.Unlock()
	time.Sleep(time.Minute)
}

// run runs the steps and returns the first broken guarantee, or an empty string.
func (r *race) run(steps []raceStep) string {
	killed := false
	for i := range _raceEntries {
		r.start(i)
	}
	for i, s := range steps {
		r.apply(s)
		killed = killed || s.Do == "kill"
		synctest.Wait()
		if violation := r.findViolation(); violation != "" {
			return fmt.Sprintf("after step %d: %s", i, violation)
		}
	}
	r.clearFaults()
	for k := range _raceKeys {
		unknown := r.toldUnknown(k)
		request := r.call(raceStep{Key: k})
		time.Sleep(time.Minute)
		if violation := r.findViolation(); violation != "" {
			return "at the end: " + violation
		}
		r.mu.Lock()
		told := r.responses[request].Header().Get("Lb-Outcome") + " " + r.responses[request].Body.String()
		r.mu.Unlock()
		if !killed && !unknown && told != fmt.Sprintf("ran receipt of k%d", k) && r.responses[request].Code != 422 {
			return fmt.Sprintf("no caller of k%d was told an unknown outcome, but its last call was told %s", k, told)
		}
	}
	return ""
}

// toldUnknown reports whether a caller of the key was told an unknown outcome.
// Later callers of such a key may rightly get no response of the service.
func (r *race) toldUnknown(k int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for request, w := range r.responses {
		if r.keys[request] == fmt.Sprintf("k%d", k) && w.Header().Get("Lb-Outcome") == "unknown" {
			return true
		}
	}
	return false
}

// close ends all faults, closes every entry's recorder and waits for the calls.
func (r *race) close() {
	r.clearFaults()
	for _, e := range r.started {
		_ = e.recorder.Close()
	}
	r.group.Wait()
}

// Several entries race over two keys, with lost and late responses, outages of
// the platform, entries that pause or are killed, and faults of the service. After
// every step, no key has run twice, and no request that was told not-run has run.
func TestKeyedRaces(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		require.NoError(t, flag.Set("rapid.seed", "1207"))
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawRace(rt)
		violation := ""
		synctest.Test(t, func(*testing.T) {
			r := &race{
				store: &fakePlatform{}, services: &fakeServices{}, gates: make([]*gate, _raceEntries), entries: make([]*entry, _raceEntries),
				responses: make(map[string]*httptest.ResponseRecorder), keys: make(map[string]string),
			}
			violation = r.run(steps)
			r.close()
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
