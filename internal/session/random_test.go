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
	_randomSteps  = 60
	_callerKey    = "acme-key"
	_recoveryTime = 90 * time.Second
	// _patchTimeout bounds the two requests of patch together.
	_patchTimeout = 10 * time.Second
)

// _randomConfiguration declares two groups in two data centres and one service.
// Its arguments are the digest of the caller's key and the address of the service.
const _randomConfiguration = `{"organisations":{"acme":{"keys_sha256":["%s"]}},
 "groups":{"forms":{"model":"form-assistant","version":"v1","data_centre":"qld-bne","replicas":2,"members":2},
           "more":{"model":"form-assistant","version":"v1","data_centre":"qld-cns","replicas":1,"members":2}},
 "services":{"lodgement":{"unrepeatable":true,"upstreams":{"s1":{"address":"%s","data_centre":"qld-bne"}}}},
 "policy":{"probe_interval_ms":200}}`

// randomSession is one run of random steps, with the state that the checks need.
type randomSession struct {
	t          *testing.T
	deployment *deployment
	random     *rand.Rand
	lastID     int // last number used in the name of a request, key or patch
	// entryByDraft holds the entry that each draft was sent to, by name of the draft.
	entryByDraft map[string]string
	callsByKey   map[string][]string // names of calls by idempotency key
	down         map[string]bool     // killed and not restarted yet
	// crashed holds the hosts that were killed at any time, restarted or not.
	crashed              map[string]bool
	configurationNumbers map[string]uint64 // last seen, by process
	generations          map[string]uint64 // highest seen, by key of the placement object
	steps                []string
}

func TestRandomSessions(t *testing.T) {
	for seed := *_firstSeed; seed < *_firstSeed+*_seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomSession(t, seed) })
		})
	}
}

func runRandomSession(t *testing.T, seed uint64) {
	s := &randomSession{
		t: t, deployment: newDeployment(), random: rand.New(rand.NewPCG(seed, 0)), entryByDraft: map[string]string{},
		callsByKey: map[string][]string{}, down: map[string]bool{}, crashed: map[string]bool{},
		configurationNumbers: map[string]uint64{}, generations: map[string]uint64{},
	}
	defer s.deployment.close()
	defer func() {
		if t.Failed() {
			t.Logf("steps of seed %d:\n%s", seed, strings.Join(s.steps, "\n"))
		}
	}()
	s.setUp()
	for range _randomSteps {
		s.step()
		time.Sleep(time.Duration(50+s.random.IntN(1500)) * time.Millisecond)
		s.checkInvariants()
	}
	s.checkRecovery()
	s.checkAnswers()
}

func (s *randomSession) setUp() {
	d := s.deployment
	for i, location := range [][2]string{{"qld-bne", "f1"}, {"qld-bne", "f1"}, {"qld-bne", "f1"}, {"qld-bne", "f2"}, {"qld-bne", "f2"}, {"qld-cns", "f3"}, {"qld-cns", "f3"}} {
		d.startEngine(fmt.Sprintf("e%d", i+1), location[0], location[1], i != 1)
	}
	d.startService("s1", "qld-bne")
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
		require.NoError(s.t, d.startProcess(p.role, p.name, p.dc))
	}
	time.Sleep(time.Second)
	s.patch("n1", fmt.Sprintf(_randomConfiguration, authenticator.Digest(_callerKey), d.hosts["s1"].ip+_enginePort))
	time.Sleep(15 * time.Second)
}

// patch reads the configuration number in force and sends a patch based on it. Errors
// are ignored, since faults may be active.
func (s *randomSession) patch(entry, merge string) {
	s.lastID++
	client := lycheebarrow.Client{Address: s.deployment.hosts[entry].ip + _operatorPort, Token: _operatorToken, HTTP: s.deployment.client}
	// The entry may be frozen and never answer.
	ctx, cancel := context.WithTimeout(context.Background(), _patchTimeout)
	defer cancel()
	current, err := client.Configuration(ctx)
	if err != nil {
		return
	}
	base, _ := strconv.ParseUint(current.Number, 10, 64)
	_, _ = client.Patch(ctx, lycheebarrow.Patch{
		ID: fmt.Sprintf("patch-%d", s.lastID), Base: base, Author: "ann", Reason: "random", Merge: []byte(merge),
	})
}

func (s *randomSession) pickName(names ...string) string { return names[s.random.IntN(len(names))] }

// step takes one random action: it sends a request or patch, or starts or ends a fault.
func (s *randomSession) step() {
	d := s.deployment
	engine := s.pickName("e1", "e2", "e3", "e4", "e5", "e6", "e7")
	process := s.pickName("p1", "p2", "p3", "n1", "n2", "n3")
	actions := []struct {
		name string
		run  func()
	}{
		{"draft", s.startDraft},
		{"draft", s.startDraft},
		{"draft", s.startDraft},
		{"draft", s.startDraft},
		{"call", s.startServiceCall},
		{"call", s.startServiceCall},
		{"call", s.startServiceCall},
		{"crash " + engine, func() { s.crash(engine) }},
		{"crash " + process, func() { s.crash(process) }},
		{"freeze " + engine, func() { d.network.Block(d.hosts[engine].ip, d.hosts[engine].ip) }},
		{"unfreeze all", s.unfreezeAll},
		{"unfreeze all", s.unfreezeAll},
		{"freeze " + process, func() { d.network.Block(d.hosts[process].ip, d.hosts[process].ip) }},
		{"restart all", s.restartAll},
		{"restart all", s.restartAll},
		{"platform unavailable", func() { d.platform.SetFaults(standin.PlatformFaults{Unavailable: true}) }},
		{"platform loses responses", func() { d.platform.SetFaults(standin.PlatformFaults{LoseResponses: 2}) }},
		{"platform slow", func() { d.platform.SetFaults(standin.PlatformFaults{DelayMS: 400}) }},
		{"platform without faults", func() { d.platform.SetFaults(standin.PlatformFaults{}) }},
		{"platform without faults", func() { d.platform.SetFaults(standin.PlatformFaults{}) }},
		{"partition qld-cns", func() { d.applyAcrossBoundary("qld-cns", d.network.Block) }},
		{"reconnect qld-cns", func() { d.applyAcrossBoundary("qld-cns", d.network.Unblock) }},
		{"engine faults " + engine, func() { s.setRandomEngineFault(engine) }},
		{"engine without faults " + engine, func() { s.setEngineFaults(engine, standin.EngineFaults{}) }},
		{"service faults", s.setRandomServiceFault},
		{"patch", func() { s.patch("n1", fmt.Sprintf(`{"organisations":{"acme":{"weight":%d}}}`, 1+s.random.IntN(9))) }},
	}
	a := actions[s.random.IntN(len(actions))]
	s.steps = append(s.steps, fmt.Sprintf("%s %s", time.Now().Format("04:05.000"), a.name))
	a.run()
}

func (s *randomSession) setEngineFaults(engine string, f standin.EngineFaults) {
	s.deployment.hosts[engine].handler.(*standin.Engine).SetFaults(f)
}

func (s *randomSession) setRandomEngineFault(engine string) {
	faults := []standin.EngineFaults{
		{CutAfterTokens: 5}, {EndAfterTokens: 9}, {WrongAttemptHeader: true}, {WrongChunkID: true}, {DuplicateChunks: true}, {SlowFactor: 5}, {Leaving: true},
	}
	s.setEngineFaults(engine, faults[s.random.IntN(len(faults))])
}

func (s *randomSession) setRandomServiceFault() {
	faults := []standin.ServiceFaults{{}, {LoseResponse: true}, {RejectCalls: true}, {CutBeforeRun: true}, {DelayMS: 900}}
	s.deployment.hosts["s1"].handler.(*standin.Service).SetFaults(faults[s.random.IntN(len(faults))])
}

func (s *randomSession) crash(name string) {
	if s.down[name] {
		return
	}
	s.down[name], s.crashed[name] = true, true
	s.deployment.kill(name)
}

func (s *randomSession) unfreezeAll() {
	for _, h := range s.deployment.hosts {
		s.deployment.network.Unblock(h.ip, h.ip)
	}
}

func (s *randomSession) restartAll() {
	for _, n := range s.deployment.hostNames {
		if s.down[n] {
			delete(s.down, n)
			delete(s.configurationNumbers, n)
			require.NoError(s.t, s.deployment.restart(n))
		}
	}
}

func (s *randomSession) startDraft() {
	s.lastID++
	name, entry := fmt.Sprintf("d%d", s.lastID), s.pickName("n1", "n2", "n3")
	s.entryByDraft[name] = entry
	draftCommand(s.random.IntN(3) > 0)(nil, s.deployment, []string{name, entry, _callerKey, strconv.Itoa(1 + s.random.IntN(200)), name, s.pickName("visa form", "የውሃ ማስታወቂያ")})
}

// startServiceCall starts a call with an idempotency key, which may be that of an
// earlier call.
func (s *randomSession) startServiceCall() {
	s.lastID++
	name, key := fmt.Sprintf("c%d", s.lastID), fmt.Sprintf("k%d", s.lastID-s.random.IntN(4))
	s.callsByKey[key] = append(s.callsByKey[key], name)
	callCommand(nil, s.deployment, []string{name, s.pickName("n1", "n2", "n3"), _callerKey, key, "lodgement", "fee=" + key})
}

// checkInvariants checks what must hold at all times: the generation of a placement
// never falls, an instance is in at most one replica, and the configuration number
// of a process never falls.
func (s *randomSession) checkInvariants() {
	objects := s.deployment.platform.Objects(placementtracker.KeyPrefix)
	owner := make(map[string]string)
	for key, value := range objects {
		var p wire.Placement
		require.NoError(s.t, protojson.Unmarshal(value, &p))
		assert.GreaterOrEqual(s.t, p.GetGeneration(), s.generations[key], "generation of %s", key)
		s.generations[key] = p.GetGeneration()
		for _, r := range p.GetReplicas() {
			for _, m := range r.GetMembers() {
				assert.Empty(s.t, owner[m], "%s is in two replicas", m)
				owner[m] = r.GetName()
			}
		}
	}
	for _, n := range []string{"n1", "n2", "n3", "p1", "p2", "p3"} {
		if h := s.deployment.hosts[n]; h.app != nil {
			number := lastConfigurationNumber(h)
			assert.GreaterOrEqual(s.t, number, s.configurationNumbers[n], "configuration of %s", n)
			s.configurationNumbers[n] = number
		}
	}
}

// lastConfigurationNumber returns the configuration number that a process applied last.
func lastConfigurationNumber(h *host) uint64 {
	lines := strings.Split(strings.TrimSpace(h.selectedEvents("configuration")), "\n")
	n, _ := strconv.ParseUint(strings.TrimPrefix(lines[len(lines)-1], "configuration number="), 10, 64)
	return n
}

// checkRecovery ends all faults, waits for _recoveryTime, and checks that every entry
// then serves a draft.
func (s *randomSession) checkRecovery() {
	s.steps = append(s.steps, time.Now().Format("04:05.000")+" end of all faults")
	s.unfreezeAll()
	s.deployment.applyAcrossBoundary("qld-cns", s.deployment.network.Unblock)
	s.deployment.platform.SetFaults(standin.PlatformFaults{})
	s.deployment.hosts["s1"].handler.(*standin.Service).SetFaults(standin.ServiceFaults{})
	for i := range 7 {
		s.setEngineFaults(fmt.Sprintf("e%d", i+1), standin.EngineFaults{})
	}
	s.restartAll()
	time.Sleep(_recoveryTime)
	for _, n := range []string{"n1", "n2", "n3"} {
		s.lastID++
		name := fmt.Sprintf("d%d", s.lastID)
		draftCommand(true)(nil, s.deployment, []string{name, n, _callerKey, "40", "after"})
		assert.Equal(s.t, "200 whole and right", <-s.deployment.results[name], "a draft of %s after all faults ended", n)
	}
}

// checkAnswers checks the answer to every request. A draft is answered whole or
// refused, unless its entry was killed. A call with a key runs at most once, and no
// answer contradicts what the service ran.
func (s *randomSession) checkAnswers() {
	seen := make(map[string]int)
	defer func() { s.t.Logf("drafts by answer: %v; keys: %d", seen, len(s.callsByKey)) }()
	for name, entry := range s.entryByDraft {
		got := <-s.deployment.results[name]
		whole := got == "200 whole and right"
		seen[got]++
		refused := strings.HasPrefix(got, strconv.Itoa(http.StatusServiceUnavailable)) || strings.HasPrefix(got, strconv.Itoa(http.StatusTooManyRequests)) ||
			strings.HasPrefix(got, strconv.Itoa(http.StatusBadGateway))
		lost := s.crashed[entry] && (got == "no answer" || strings.HasPrefix(got, "200 cut after"))
		assert.True(s.t, whole || refused || lost, "draft %s at %s: %s", name, entry, got)
	}
	runs := s.deployment.hosts["s1"].handler.(*standin.Service).RunCounts()
	for key, calls := range s.callsByKey {
		var answers []string
		for _, n := range calls {
			answers = append(answers, <-s.deployment.results[n])
		}
		assert.LessOrEqual(s.t, runs[key], 1, "key %s ran more than once", key)
		notRun := !slices.ContainsFunc(answers, func(a string) bool { return !strings.Contains(a, "outcome=not-run") })
		if notRun {
			assert.Zero(s.t, runs[key], "key %s: every answer said not-run: %v", key, answers)
		}
		if slices.ContainsFunc(answers, func(a string) bool { return strings.HasPrefix(a, "200 ") }) {
			assert.Equal(s.t, 1, runs[key], "key %s: an answer said that it ran: %v", key, answers)
		}
	}
}
