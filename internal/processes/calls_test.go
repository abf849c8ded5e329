package processes_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// callWorld has a service and two entries.
func callWorld(t *testing.T) (*world, *process) {
	w := newWorld(t)
	w.stub("service", "s1", "")
	n1 := w.daemon("entry", "n1")
	w.daemon("entry", "n2")
	w.patch(w.document(0), "n1", "n2")
	return w, n1
}

// settled repeats a call until its answer is not that it is in progress.
func (w *world) settled(entry, key string) answer {
	w.t.Helper()
	var a answer
	await(w.t, "an outcome of "+key, func() bool {
		a = w.call(entry, key)
		return a.status != http.StatusConflict
	})
	return a
}

// An entry is killed while the service runs its call; the key goes to another.
func TestEntryKilledDuringCall(t *testing.T) {
	t.Parallel()
	w, n1 := callWorld(t)
	w.fault("s1", `{"delay_ms":1000}`)
	go w.call("n1", "k")
	await(t, "the run", func() bool { return w.runs("s1", "k") == 1 })
	n1.kill()
	a := w.settled("n2", "k")
	assert.Equal(t, "unknown", a.outcome, "%v", a)
	w.daemon("entry", "n1")
	await(t, "n1 to be configured", func() bool { return w.call("n1", "other").outcome == "ran" })
	assert.Equal(t, "unknown", w.call("n1", "k").outcome)
	assert.Equal(t, 1, w.runs("s1", "k"))
}

// An entry is paused while the service runs its call, and wakes.
func TestEntryPausedDuringCall(t *testing.T) {
	t.Parallel()
	w, n1 := callWorld(t)
	w.fault("s1", `{"delay_ms":1000}`)
	first := make(chan answer, 1)
	go func() { first <- w.call("n1", "k") }()
	await(t, "the run", func() bool { return w.runs("s1", "k") == 1 })
	n1.signal(syscall.SIGSTOP)
	assert.Equal(t, "unknown", w.settled("n2", "k").outcome)
	n1.signal(syscall.SIGCONT)
	a := <-first
	// Which of its own timers and the answer it meets first is open.
	assert.Contains(t, []string{"ran", "unknown"}, a.outcome, "%v", a)
	await(t, "the record", func() bool { return w.call("n2", "k").outcome == a.outcome })
	assert.Equal(t, 1, w.runs("s1", "k"))
}

// An entry is paused between its record and its call, for longer than a claim
// may be sent.
func TestEntryPausedBeforeCall(t *testing.T) {
	t.Parallel()
	w, n1 := callWorld(t)
	w.fault("platform", `{"delay_ms":1500}`)
	first := make(chan answer, 1)
	go func() { first <- w.call("n1", "k") }()
	// The entry reads the whole request before it asks the platform, which
	// takes longer than this to answer.
	time.Sleep(500 * time.Millisecond)
	n1.signal(syscall.SIGSTOP)
	stopped := time.Now()
	w.fault("platform", `{}`)
	a := w.settled("n2", "k")
	const staleAfter = 11 * time.Second
	time.Sleep(time.Until(stopped.Add(staleAfter)))
	n1.signal(syscall.SIGCONT)
	b := <-first
	if a.outcome == "ran" {
		// The pause came before the record, so the other entry ran the call.
		assert.Contains(t, []string{"ran", "not-run"}, b.outcome, "%v", b)
	} else {
		assert.Equal(t, "unknown", a.outcome, "%v", a)
		assert.Equal(t, "not-run", b.outcome, "%v", b)
		assert.Zero(t, w.runs("s1", "k"))
		await(t, "the key to be free again", func() bool { return w.call("n2", "k").outcome == "ran" })
	}
	assert.Equal(t, 1, w.runs("s1", "k"))
}

// A service's process is killed while it runs a call. The call is not sent to
// the other one, which takes the calls that follow.
func TestServiceKilledDuringCall(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	names := []string{"s1", "s2"}
	servers := make(map[string]*process)
	for _, n := range names {
		servers[n] = w.stub("service", n, "")
		w.fault(n, `{"delay_ms":1000}`)
	}
	w.daemon("entry", "n1")
	w.patch(w.document(0), "n1")
	first := make(chan answer, 1)
	go func() { first <- w.call("n1", "k") }()
	ran, other := "", ""
	await(t, "the run", func() bool {
		for i, n := range names {
			if w.runs(n, "k") == 1 {
				ran, other = n, names[1-i]
			}
		}
		return ran != ""
	})
	servers[ran].kill()
	assert.Equal(t, "unknown", (<-first).outcome)
	assert.Equal(t, "unknown", w.settled("n1", "k").outcome)
	for _, k := range []string{"k1", "k2", "k3"} {
		a := w.call("n1", k)
		assert.Equal(t, "ran", a.outcome, "%v", a)
		assert.Equal(t, 1, w.runs(other, k))
	}
	assert.Zero(t, w.runs(other, "k"))
}
