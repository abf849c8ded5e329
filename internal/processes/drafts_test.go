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

// draftWorld has four engines in two domains, a placer, and entries that serve
// two replicas.
func draftWorld(t *testing.T, entries ...string) (*world, map[string]*process) {
	w := newWorld(t)
	processes := make(map[string]*process)
	for i := range 4 {
		name := fmt.Sprintf("e%d", i+1)
		processes[name] = w.stub("engine", name, fmt.Sprintf("f%d", i/2))
	}
	processes["s1"] = w.stub("service", "s1", "")
	processes["p1"] = w.daemon("placer", "p1")
	for _, e := range entries {
		processes[e] = w.daemon("entry", e)
	}
	w.patch(w.document(2), entries...)
	for _, e := range entries {
		w.awaitDrafts(e)
	}
	return w, processes
}

// awaitDrafts waits until an entry serves two replicas.
func (w *world) awaitDrafts(entry string) {
	w.t.Helper()
	await(w.t, "two replicas", func() bool { return len(w.replicas(entry)) == 2 })
	await(w.t, "a draft", func() bool { return w.chat(entry, "[tokens=1]", nil).whole("[tokens=1]") })
}

const _longPrompt = "a long form [tokens=150]"

func TestMemberKilledDuringStream(t *testing.T) {
	t.Parallel()
	w, processes := draftWorld(t, "n1")
	replicas := w.replicas("n1")
	a := w.chat("n1", _longPrompt, func() {
		name := processes["n1"].await(`(?s:.*)event=route .*replica=(\S+)`)
		require.Len(t, replicas[name], 2, name)
		processes[replicas[name][1]].kill()
	})
	assert.True(t, a.whole(_longPrompt), "%v", a)
}

// With the platform away drafts go on, and keyed calls are refused.
func TestPlatformAway(t *testing.T) {
	t.Parallel()
	w, _ := draftWorld(t, "n1")
	assert.Equal(t, "ran", w.call("n1", "before").outcome)
	w.fault("platform", `{"out":true}`)
	for i := range 5 {
		prompt := fmt.Sprintf("form %d [tokens=20]", i)
		a := w.chat("n1", prompt, nil)
		assert.True(t, a.whole(prompt), "%v", a)
	}
	a := w.call("n1", "during")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Equal(t, "not-run", a.outcome)
	assert.Equal(t, "ran", w.call("n1", "").outcome)
	w.fault("platform", `{}`)
	await(t, "keyed calls", func() bool { return w.call("n1", "during").outcome == "ran" })
	assert.Equal(t, 1, w.runs("s1", "during"))
	assert.Equal(t, 1, w.runs("s1", "before"))
}

// A graceful shutdown under load with a long draft cuts nothing.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	w, processes := draftWorld(t, "n1")
	w.fault("s1", `{"delay_ms":1000}`)
	called := make(chan answer, 1)
	a := w.chat("n1", _longPrompt, func() {
		go func() { called <- w.call("n1", "k") }()
		await(t, "the run", func() bool { return w.runs("s1", "k") == 1 })
		processes["n1"].signal(syscall.SIGTERM)
	})
	assert.True(t, a.whole(_longPrompt), "%v", a)
	assert.Equal(t, "ran", (<-called).outcome)
	assert.Equal(t, composer.ExitOK, processes["n1"].exit())
}

// A second signal ends the shutdown at once.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	w, processes := draftWorld(t, "n1")
	prompt := "a very long form [tokens=3000]"
	a := w.chat("n1", prompt, func() {
		processes["n1"].signal(syscall.SIGTERM)
		processes["n1"].await(`event=leave`)
		processes["n1"].signal(syscall.SIGTERM)
		assert.Equal(t, composer.ExitForced, processes["n1"].exit())
	})
	assert.False(t, a.whole(prompt))
}

// All entries are restarted one after the other while callers go on; callers
// try another entry where one refuses a request without running it.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	entries := []string{"n1", "n2", "n3"}
	w, processes := draftWorld(t, entries...)
	var stop atomic.Bool
	var drafts, calls atomic.Int64
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for n := i; !stop.Load(); n++ {
				prompt := fmt.Sprintf("form %d of %d [tokens=25]", n, i)
				a := w.anywhere(entries, n, func(e string) answer { return w.chat(e, prompt, nil) })
				assert.True(t, a.whole(prompt), "%v", a)
				drafts.Add(1)
				key := fmt.Sprintf("k-%d-%d", i, n)
				a = w.anywhere(entries, n, func(e string) answer { return w.call(e, key) })
				assert.Equal(t, "ran", a.outcome, "%v", a)
				assert.Equal(t, 1, w.runs("s1", key))
				calls.Add(1)
			}
		})
	}
	for _, e := range entries {
		before := drafts.Load()
		await(t, "load", func() bool { return drafts.Load() > before+4 })
		processes[e].signal(syscall.SIGTERM)
		assert.Equal(t, composer.ExitOK, processes[e].exit())
		processes[e] = w.daemon("entry", e)
		w.awaitDrafts(e)
	}
	stop.Store(true)
	group.Wait()
	t.Logf("drafts=%d calls=%d", drafts.Load(), calls.Load())
}

// anywhere tries entries in turn, as a balancer does: it passes over an entry
// that says it isn't ready, and goes on to the next where one refuses the
// connection or says that it did not run a request.
func (w *world) anywhere(entries []string, from int, try func(entry string) answer) answer {
	var a answer
	await(w.t, "an entry that takes the request", func() bool {
		e := entries[from%len(entries)]
		from++
		if !w.ready(e) {
			return false
		}
		a = try(e)
		return !refused(a)
	})
	return a
}

func (w *world) ready(entry string) bool {
	address, _ := w.health.Load(entry)
	res, err := http.Get("http://" + address.(string) + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
