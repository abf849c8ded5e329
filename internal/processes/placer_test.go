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

// placed returns the replicas of each instance, as the platform's placements
// have them.
func (w *world) placed() map[string][]string {
	w.t.Helper()
	res, err := http.Get(w.platform + "/objects?prefix=placement/")
	require.NoError(w.t, err)
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
	require.NoError(w.t, json.NewDecoder(res.Body).Decode(&list))
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

// single fails where an instance is in two replicas.
func (w *world) single() {
	w.t.Helper()
	for instance, replicas := range w.placed() {
		require.Len(w.t, replicas, 1, "%s is in %v", instance, replicas)
	}
}

func (w *world) status(engine string) engineclient.Status {
	res, err := http.Get("http://" + w.addresses[engine] + "/status")
	if err != nil {
		return engineclient.Status{}
	}
	defer res.Body.Close()
	var s engineclient.Status
	_ = json.NewDecoder(res.Body).Decode(&s)
	return s
}

// The lease's holder is paused, another placer takes over and repairs what was
// lost, and the old one wakes. One domain's engines check fencing numbers, the
// other's don't.
func TestHolderPaused(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	processes := make(map[string]*process)
	engines := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	for i, e := range engines {
		processes[e] = w.stub("engine", e, fmt.Sprintf("f%d", i/3), fmt.Sprintf("-checks-fencing=%t", i < 3))
	}
	old := w.daemon("placer", "p1")
	old.await(`event=lease-taken`)
	next := w.daemon("placer", "p2")
	w.daemon("entry", "n1")
	w.patch(w.document(2), "n1")
	w.awaitDrafts("n1")
	w.single()

	old.signal(syscall.SIGSTOP)
	lost := make(map[string]bool)
	for _, members := range w.replicas("n1") {
		lost[members[0]] = true
		processes[members[0]].kill()
	}
	next.await(`event=lease-taken`)
	repaired := func() bool {
		w.single()
		placed := w.placed()
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
	await(t, "every engine's own word to be its placement", func() bool {
		w.single()
		for e, replicas := range w.placed() {
			if s := w.status(e); s.Replica != replicas[0] || s.State != engineclient.StateReady {
				return false
			}
		}
		return true
	})
	w.awaitDrafts("n1")
	assert.True(t, repaired())
	prompt := "after the pause [tokens=30]"
	a := w.chat("n1", prompt, nil)
	assert.True(t, a.whole(prompt), "%v", a)
	assert.False(t, strings.Contains(old.out.String(), "panic"))
}
