package processes_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newCallDeployment starts a service and the entries n1 and n2.
func newCallDeployment(t *testing.T) (*deployment, *process) {
	d := newDeployment(t)
	d.startStub("service", "s1", "")
	n1 := d.startDaemon("entry", "n1")
	d.startDaemon("entry", "n2")
	d.patch(d.configuration(0), "n1", "n2")
	return d, n1
}

// callUntilOutcome repeats a call until the answer isn't 409, which says that a call
// with the same idempotency key is in progress.
func (d *deployment) callUntilOutcome(entry, key string) answer {
	d.t.Helper()
	var a answer
	await(d.t, "an outcome of "+key, func() bool {
		a = d.call(entry, key)
		return a.status != http.StatusConflict
	})
	return a
}

// An entry is killed while the service runs its call. A call with the same key at
// another entry, and later at the restarted one, gets the outcome "unknown" and isn't
// run again.
func TestEntryKilledDuringCall(t *testing.T) {
	t.Parallel()
	d, n1 := newCallDeployment(t)
	d.setFaults("s1", `{"delay_ms":1000}`)
	go d.call("n1", "k")
	await(t, "the run", func() bool { return d.runCount("s1", "k") == 1 })
	n1.kill()
	a := d.callUntilOutcome("n2", "k")
	assert.Equal(t, "unknown", a.outcome, "%v", a)
	d.startDaemon("entry", "n1")
	await(t, "n1 to be configured", func() bool { return d.call("n1", "other").outcome == "ran" })
	assert.Equal(t, "unknown", d.call("n1", "k").outcome)
	assert.Equal(t, 1, d.runCount("s1", "k"))
}

// An entry is paused while the service runs its call, until another entry has answered
// a call with the same key. The call runs once, and in the end both entries report the
// same outcome.
func TestEntryPausedDuringCall(t *testing.T) {
	t.Parallel()
	d, n1 := newCallDeployment(t)
	d.setFaults("s1", `{"delay_ms":1000}`)
	first := make(chan answer, 1)
	go func() { first <- d.call("n1", "k") }()
	await(t, "the run", func() bool { return d.runCount("s1", "k") == 1 })
	n1.signal(syscall.SIGSTOP)
	assert.Equal(t, "unknown", d.callUntilOutcome("n2", "k").outcome)
	n1.signal(syscall.SIGCONT)
	a := <-first
	// Whether the entry handles its own timeout or the answer first is a race.
	assert.Contains(t, []string{"ran", "unknown"}, a.outcome, "%v", a)
	await(t, "the record", func() bool { return d.call("n2", "k").outcome == a.outcome })
	assert.Equal(t, 1, d.runCount("s1", "k"))
}

// An entry is paused after it has written the record that claims the key and before it
// sends the call, for longer than a claim is valid. It must not send the call then.
func TestEntryPausedBeforeCall(t *testing.T) {
	t.Parallel()
	d, n1 := newCallDeployment(t)
	d.setFaults("platform", `{"delay_ms":1500}`)
	first := make(chan answer, 1)
	go func() { first <- d.call("n1", "k") }()
	// Within 500 ms the entry reads the whole request and calls the platform, which
	// takes 1500 ms to respond.
	time.Sleep(500 * time.Millisecond)
	n1.signal(syscall.SIGSTOP)
	stopped := time.Now()
	d.setFaults("platform", `{}`)
	a := d.callUntilOutcome("n2", "k")
	const pauseTime = 11 * time.Second
	time.Sleep(time.Until(stopped.Add(pauseTime)))
	n1.signal(syscall.SIGCONT)
	b := <-first
	if a.outcome == "ran" {
		// The pause came before the record was written, so the other entry ran the call.
		assert.Contains(t, []string{"ran", "not-run"}, b.outcome, "%v", b)
	} else {
		assert.Equal(t, "unknown", a.outcome, "%v", a)
		assert.Equal(t, "not-run", b.outcome, "%v", b)
		assert.Zero(t, d.runCount("s1", "k"))
		await(t, "the key to be free again", func() bool { return d.call("n2", "k").outcome == "ran" })
	}
	assert.Equal(t, 1, d.runCount("s1", "k"))
}

// An upstream of a service is killed while it runs a call. The call is not sent to the
// other upstream, which serves the calls that follow.
func TestServiceKilledDuringCall(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	names := []string{"s1", "s2"}
	upstreams := make(map[string]*process)
	for _, n := range names {
		upstreams[n] = d.startStub("service", n, "")
		d.setFaults(n, `{"delay_ms":1000}`)
	}
	d.startDaemon("entry", "n1")
	d.patch(d.configuration(0), "n1")
	first := make(chan answer, 1)
	go func() { first <- d.call("n1", "k") }()
	ran, other := "", ""
	await(t, "the run", func() bool {
		for i, n := range names {
			if d.runCount(n, "k") == 1 {
				ran, other = n, names[1-i]
			}
		}
		return ran != ""
	})
	upstreams[ran].kill()
	assert.Equal(t, "unknown", (<-first).outcome)
	assert.Equal(t, "unknown", d.callUntilOutcome("n1", "k").outcome)
	for _, k := range []string{"k1", "k2", "k3"} {
		a := d.call("n1", k)
		assert.Equal(t, "ran", a.outcome, "%v", a)
		assert.Equal(t, 1, d.runCount(other, k))
	}
	assert.Zero(t, d.runCount(other, "k"))
}
