package processes_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
)

// replicasByInstance returns the names of the replicas that each instance is a member
// of, from the placements stored on the platform.
func (d *deployment) replicasByInstance() map[string][]string {
	d.t.Helper()
	res, err := http.Get(d.platform + "/objects?prefix=placement/")
	require.NoError(d.t, err)
	defer res.Body.Close()
	var list struct {
		Objects []struct {
			Value struct {
				Replicas []struct {
					Name    string
					Members []string
				}
			}
		}
	}
	require.NoError(d.t, json.NewDecoder(res.Body).Decode(&list))
	out := make(map[string][]string)
	for _, o := range list.Objects {
		for _, r := range o.Value.Replicas {
			for _, m := range r.Members {
				out[m] = append(out[m], r.Name)
			}
		}
	}
	return out
}

// requireSingleReplica fails the test if an instance is a member of two replicas.
func (d *deployment) requireSingleReplica() {
	d.t.Helper()
	for instance, replicas := range d.replicasByInstance() {
		require.Len(d.t, replicas, 1, "%s is in %v", instance, replicas)
	}
}

func (d *deployment) status(engine string) engineclient.Status {
	res, err := http.Get("http://" + d.addresses[engine] + "/status")
	if err != nil {
		return engineclient.Status{}
	}
	defer res.Body.Close()
	var s engineclient.Status
	_ = json.NewDecoder(res.Body).Decode(&s)
	return s
}

// The placer that holds the lease is paused, and a second placer takes over and
// repairs the replicas whose members were killed. When the first placer runs again,
// it must change nothing. The engines of one domain refuse orders of an older
// generation; those of the other don't.
func TestLeaseHolderPaused(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	processes := make(map[string]*process)
	engines := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	for i, e := range engines {
		processes[e] = d.startStub("engine", e, fmt.Sprintf("f%d", i/3), fmt.Sprintf("-checks-fencing=%t", i < 3))
	}
	old := d.startDaemon("placer", "p1")
	old.await(`event=lease-taken`)
	next := d.startDaemon("placer", "p2")
	d.startDaemon("entry", "n1")
	d.patch(d.configuration(2), "n1")
	d.awaitDrafts("n1")
	d.requireSingleReplica()

	old.signal(syscall.SIGSTOP)
	lost := make(map[string]bool)
	for _, members := range d.servingReplicas("n1") {
		lost[members[0]] = true
		processes[members[0]].kill()
	}
	next.await(`event=lease-taken`)
	repaired := func() bool {
		d.requireSingleReplica()
		placed := d.replicasByInstance()
		for e := range lost {
			if len(placed[e]) > 0 {
				return false
			}
		}
		return len(placed) == len(engines)-len(lost)
	}
	await(t, "the repair", repaired)
	old.signal(syscall.SIGCONT)
	old.await(`event=lease-lost`)
	await(t, "the status of every engine to match its placement", func() bool {
		d.requireSingleReplica()
		for e, replicas := range d.replicasByInstance() {
			if s := d.status(e); s.Replica != replicas[0] || s.State != engineclient.StateReady {
				return false
			}
		}
		return true
	})
	d.awaitDrafts("n1")
	assert.True(t, repaired())
	prompt := "after the pause [tokens=30]"
	a := d.chat("n1", prompt, nil)
	assert.True(t, a.isWhole(prompt), "%v", a)
	assert.False(t, strings.Contains(old.out.String(), "panic"))
}
