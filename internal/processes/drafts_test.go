package processes_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
)

// newDraftDeployment starts four engines in two domains, a service, a placer and
// entries, and waits until each entry serves drafts from two replicas.
func newDraftDeployment(t *testing.T, entries ...string) (*deployment, map[string]*process) {
	d := newDeployment(t)
	processes := make(map[string]*process)
	for i := range 4 {
		name := fmt.Sprintf("e%d", i+1)
		processes[name] = d.startStub("engine", name, fmt.Sprintf("f%d", i/2))
	}
	processes["s1"] = d.startStub("service", "s1", "")
	processes["p1"] = d.startDaemon("placer", "p1")
	for _, e := range entries {
		processes[e] = d.startDaemon("entry", e)
	}
	d.patch(d.configuration(2), entries...)
	for _, e := range entries {
		d.awaitDrafts(e)
	}
	return d, processes
}

// awaitDrafts waits until an entry knows two serving replicas and has served a draft.
func (d *deployment) awaitDrafts(entry string) {
	d.t.Helper()
	await(d.t, "two replicas", func() bool { return len(d.servingReplicas(entry)) == 2 })
	await(d.t, "a draft", func() bool { return d.chat(entry, "[tokens=1]", nil).isWhole("[tokens=1]") })
}

const _longPrompt = "a long form [tokens=150]"

func TestMemberKilledDuringStream(t *testing.T) {
	t.Parallel()
	d, processes := newDraftDeployment(t, "n1")
	replicas := d.servingReplicas("n1")
	a := d.chat("n1", _longPrompt, func() {
		name := processes["n1"].await(`(?s:.*)event=route .*replica=(\S+)`)
		require.Len(t, replicas[name], 2, name)
		processes[replicas[name][1]].kill()
	})
	assert.True(t, a.isWhole(_longPrompt), "%v", a)
}

// While the platform is unavailable, drafts and calls without an idempotency key are
// served; calls with a key are refused, since their record can't be written.
func TestPlatformUnavailable(t *testing.T) {
	t.Parallel()
	d, _ := newDraftDeployment(t, "n1")
	assert.Equal(t, "ran", d.call("n1", "before").outcome)
	d.setFaults("platform", `{"out":true}`)
	for i := range 5 {
		prompt := fmt.Sprintf("form %d [tokens=20]", i)
		a := d.chat("n1", prompt, nil)
		assert.True(t, a.isWhole(prompt), "%v", a)
	}
	a := d.call("n1", "during")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Equal(t, "not-run", a.outcome)
	assert.Equal(t, "ran", d.call("n1", "").outcome)
	d.setFaults("platform", `{}`)
	await(t, "keyed calls", func() bool { return d.call("n1", "during").outcome == "ran" })
	assert.Equal(t, 1, d.runCount("s1", "during"))
	assert.Equal(t, 1, d.runCount("s1", "before"))
}

// A graceful shutdown truncates neither a long draft nor a call to a service in
// flight.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	d, processes := newDraftDeployment(t, "n1")
	d.setFaults("s1", `{"delay_ms":1000}`)
	called := make(chan answer, 1)
	a := d.chat("n1", _longPrompt, func() {
		go func() { called <- d.call("n1", "k") }()
		await(t, "the run", func() bool { return d.runCount("s1", "k") == 1 })
		processes["n1"].signal(syscall.SIGTERM)
	})
	assert.True(t, a.isWhole(_longPrompt), "%v", a)
	assert.Equal(t, "ran", (<-called).outcome)
	assert.Equal(t, composer.ExitOK, processes["n1"].exitCode())
}

// A repeated SIGTERM cuts off neither a draft nor a call that a service executes.
func TestRepeatedSIGTERMKeepsResponses(t *testing.T) {
	t.Parallel()
	d, processes := newDraftDeployment(t, "n1")
	d.setFaults("s1", `{"delay_ms":1000}`)
	called := make(chan answer, 1)
	a := d.chat("n1", _longPrompt, func() {
		go func() { called <- d.call("n1", "k") }()
		await(t, "the run", func() bool { return d.runCount("s1", "k") == 1 })
		processes["n1"].signal(syscall.SIGTERM)
		processes["n1"].await(`event=leave`)
		for range 3 {
			processes["n1"].signal(syscall.SIGTERM)
		}
		processes["n1"].await(`event=signal.*already shutting down`)
	})
	assert.True(t, a.isWhole(_longPrompt), "%v", a)
	assert.Equal(t, "ran", (<-called).outcome)
	assert.Equal(t, composer.ExitOK, processes["n1"].exitCode())
}

// An interrupt ends a graceful shutdown at once, with the exit code ExitForced.
func TestInterruptForcesShutdown(t *testing.T) {
	t.Parallel()
	d, processes := newDraftDeployment(t, "n1")
	prompt := "a very long form [tokens=3000]"
	a := d.chat("n1", prompt, func() {
		processes["n1"].signal(syscall.SIGTERM)
		processes["n1"].await(`event=leave`)
		processes["n1"].signal(syscall.SIGINT)
		assert.Equal(t, composer.ExitForced, processes["n1"].exitCode())
	})
	assert.False(t, a.isWhole(prompt))
}

// All entries are restarted one after the other under load. Callers try the next entry
// when one refuses a request without running it; every draft must be whole and every
// call must run once.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	entries := []string{"n1", "n2", "n3"}
	d, processes := newDraftDeployment(t, entries...)
	var stop atomic.Bool
	var drafts, calls atomic.Int64
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for n := i; !stop.Load(); n++ {
				prompt := fmt.Sprintf("form %d of %d [tokens=25]", n, i)
				a := d.tryEntries(entries, n, func(e string) answer { return d.chat(e, prompt, nil) })
				assert.True(t, a.isWhole(prompt), "%v", a)
				drafts.Add(1)
				key := fmt.Sprintf("k-%d-%d", i, n)
				a = d.tryEntries(entries, n, func(e string) answer { return d.call(e, key) })
				assert.Equal(t, "ran", a.outcome, "%v", a)
				assert.Equal(t, 1, d.runCount("s1", key))
				calls.Add(1)
			}
		})
	}
	for _, e := range entries {
		before := drafts.Load()
		await(t, "load", func() bool { return drafts.Load() > before+4 })
		processes[e].signal(syscall.SIGTERM)
		assert.Equal(t, composer.ExitOK, processes[e].exitCode())
		processes[e] = d.startDaemon("entry", e)
		d.awaitDrafts(e)
	}
	stop.Store(true)
	group.Wait()
	t.Logf("drafts=%d calls=%d", drafts.Load(), calls.Load())
}

// tryEntries tries entries in turn, as a load balancer does: it skips an entry that
// isn't ready, and tries the next one when an entry refuses the connection or answers
// that it did not run the request.
func (d *deployment) tryEntries(entries []string, from int, try func(entry string) answer) answer {
	var a answer
	await(d.t, "an entry that takes the request", func() bool {
		e := entries[from%len(entries)]
		from++
		if !d.isReady(e) {
			return false
		}
		a = try(e)
		return !wasNotRun(a)
	})
	return a
}

func (d *deployment) isReady(entry string) bool {
	address, _ := d.metricsAddresses.Load(entry)
	res, err := http.Get("http://" + address.(string) + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
