package planner_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _finalReplicas are the numbers of replicas by group that are declared once all faults
// have ended. They fit into the smallest data centre in any arrangement, since all
// have the same size.
var _finalReplicas = map[string]int{"one": 1, "two": 1, "four": 2}

// TestMain fixes the seed of rapid. A flag on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// TestRandomFaults applies random faults and configuration changes to a data centre,
// then ends all faults. No instance may ever be in two replicas, generations may
// only grow, and at the end every declared replica must serve and none drain.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		names := s.populate(t)
		version := rapid.SampledFrom([]string{"v1", "v2"})
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			s.injectRandomFault(t, names, version)
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				s.step(t)
			}
		}
		s.heal(t, names)
		for i := range 4000 {
			if s.step(t); i%20 == 0 && s.settled() {
				return
			}
		}
		require.Fail(t, "the fleet did not settle", "%v\n%s", s.state.Placements, s.decisions.String())
	})
}

// populate makes two or three domains of 4 to 9 instances, and returns the names of
// all instances.
func (s *simulation) populate(t *rapid.T) []string {
	var names []string
	for d := range rapid.IntRange(2, 3).Draw(t, "domains") {
		for i := range rapid.IntRange(4, 9).Draw(t, "instances") {
			n := fmt.Sprintf("f%d-%d", d, i)
			names = append(names, n)
			require.NoError(t, s.runCommand("domain", fmt.Sprintf("f%d", d), n))
		}
	}
	s.state.Document.Policy.MaxLoads = rapid.IntRange(1, 4).Draw(t, "max loads")
	return names
}

// injectRandomFault applies one random fault, recovery or configuration change.
func (s *simulation) injectRandomFault(t *rapid.T, names []string, version *rapid.Generator[string]) {
	name := rapid.SampledFrom(names).Draw(t, "instance")
	commands := []string{"silent", "back", "restart", "fail", "busy=1", "busy=0", "leave", "delist", "relist", "obeyed=0", "move", "group", "domain-outage", "lose", "endless"}
	switch c := rapid.SampledFrom(commands).Draw(t, "command"); c {
	case "group":
		g := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "group")
		require.NoError(t, s.runCommand("group", g, "version="+version.Draw(t, "version"),
			fmt.Sprintf("replicas=%d", rapid.IntRange(0, 3).Draw(t, "replicas")),
			fmt.Sprintf("members=%d", rapid.IntRange(1, 4).Draw(t, "members")),
			fmt.Sprintf("priority=%d", rapid.IntRange(0, 2).Draw(t, "priority"))))
	case "domain-outage":
		for _, n := range names {
			if n[:2] == name[:2] {
				s.silentSince[n] = s.now
			}
		}
	case "lose":
		s.writesToLose[name[:2]]++
	case "relist":
		if _, ok := s.state.Instances[name]; !ok {
			require.NoError(t, s.runCommand("domain", name[:2], name))
		}
	case "move":
		_ = s.runCommand("move="+rapid.SampledFrom([]string{"f0", "f1"}).Draw(t, "domain"), name)
	case "delist":
		require.NoError(t, s.runCommand(c, name))
	default:
		// An instance that is not listed can't be changed.
		_ = s.runCommand(c, name)
	}
}

// heal ends every fault and declares the groups of _finalReplicas.
func (s *simulation) heal(t *rapid.T, names []string) {
	clear(s.silentSince)
	clear(s.neverLoads)
	clear(s.writesToLose)
	for _, n := range names {
		i, ok := s.state.Instances[n]
		if !ok {
			require.NoError(t, s.runCommand("domain", n[:2], n))
			continue
		}
		i.Domain, i.Leaving, i.InFlight = n[:2], false, 0
		s.state.Instances[n] = i
	}
	s.state.Document.Groups = map[string]validator.Group{}
	for n, replicas := range _finalReplicas {
		s.state.Document.Groups[n] = validator.Group{Model: n, Version: "v3", DataCentre: "dc", Replicas: replicas, Members: 2}
	}
	s.now = s.now.Add(time.Second)
}

// settled reports whether exactly the declared replicas are placed, all of them serve,
// and every member reports its own replica as ready.
func (s *simulation) settled() bool {
	have := map[string]int{}
	for d, p := range s.state.Placements {
		for _, r := range p.GetReplicas() {
			have[r.GetGroup()]++
			if r.GetState() != wire.ReplicaState_REPLICA_STATE_SERVING || r.GetVersion() != "v3" {
				return false
			}
			for _, n := range r.GetMembers() {
				i := s.state.Instances[n]
				if i.Domain != d || !i.Ready || i.Replica != r.GetName() || i.Generation != r.GetGeneration() {
					return false
				}
			}
		}
	}
	return maps.Equal(have, _finalReplicas)
}
