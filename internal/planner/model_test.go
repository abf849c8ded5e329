package planner_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/planner"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	_step      = 500 * time.Millisecond
	_deadAfter = 2 * time.Second
)

// simulation is a data centre whose instances accept each order at once and then load
// for loadTime.
type simulation struct {
	planner      planner.Planner
	state        planner.State
	now          time.Time
	start        time.Time
	loadTime     time.Duration
	silentSince  map[string]time.Time
	neverLoads   map[string]bool
	loadedAt     map[string]time.Time
	writesToLose map[string]int // placement writes to lose, by domain
	loads        int
	decisions    strings.Builder
}

func newSimulation() *simulation {
	now := time.Unix(0, 0)
	return &simulation{
		planner: planner.Planner{DeadAfter: _deadAfter}, now: now, start: now, loadTime: 10 * time.Second,
		state: planner.State{
			DataCentre: "dc", Document: validator.Document{Groups: map[string]validator.Group{}},
			Placements: map[string]*wire.Placement{}, Instances: map[string]planner.Instance{},
		},
		silentSince: map[string]time.Time{}, neverLoads: map[string]bool{}, loadedAt: map[string]time.Time{}, writesToLose: map[string]int{},
	}
}

// runCommand runs one command of a script, without its time.
func (m *simulation) runCommand(command string, args ...string) error {
	switch command {
	case "domain":
		for _, n := range args[1:] {
			m.state.Instances[n] = planner.Instance{Name: n, Address: n, Domain: args[0], Answered: true, Boot: "1"}
		}
	case "group":
		return m.setGroup(args[0], args[1:])
	case "ungroup":
		delete(m.state.Document.Groups, args[0])
	case "load":
		m.loadTime = seconds(args[0])
	case "max-loads":
		m.state.Document.Policy.MaxLoads, _ = strconv.Atoi(args[0])
	case "lose":
		m.writesToLose[args[0]]++
	case "delist":
		delete(m.state.Instances, args[0])
	default:
		for _, n := range args {
			i, ok := m.state.Instances[n]
			if !ok {
				return fmt.Errorf("no instance %s", n)
			}
			if err := m.changeInstance(command, &i); err != nil {
				return err
			}
			m.state.Instances[n] = i
		}
	}
	return nil
}

// changeInstance applies a command to an instance.
func (m *simulation) changeInstance(command string, i *planner.Instance) error {
	switch verb, value, _ := strings.Cut(command, "="); verb {
	case "silent":
		m.silentSince[i.Name] = m.now
	case "back":
		delete(m.silentSince, i.Name)
	case "restart":
		delete(m.silentSince, i.Name)
		*i = planner.Instance{Name: i.Name, Address: i.Address, Domain: i.Domain, Answered: true, Boot: i.Boot + "1"}
	case "leave":
		i.Leaving = true
	case "busy":
		i.InFlight, _ = strconv.Atoi(value)
	case "move":
		i.Domain = value
	case "fail":
		i.Failed, i.Ready = true, false
	case "endless":
		m.neverLoads[i.Name] = true
	case "unknown":
		i.Answered = false
	case "known":
		i.Answered = true
	case "obeyed":
		i.Generation, _ = strconv.ParseUint(value, 10, 64)
		i.Replica, i.Ready = "other", false
	default:
		return fmt.Errorf("no command %s", command)
	}
	return nil
}

// setGroup declares a group, or changes the given settings of one.
func (m *simulation) setGroup(name string, args []string) error {
	g := m.state.Document.Groups[name]
	g.DataCentre = "dc"
	g.Model = name
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		number, _ := strconv.Atoi(value)
		switch key {
		case "replicas":
			g.Replicas = number
		case "members":
			g.Members = number
		case "priority":
			g.Priority = number
		case "version":
			g.Version = value
		case "model":
			g.Model = value
		default:
			return fmt.Errorf("no setting %s", key)
		}
	}
	m.state.Document.Groups[name] = g
	return nil
}

// step decides once, stores the plan, delivers the orders and advances the time by
// _step.
func (m *simulation) step(t require.TestingT) {
	for n, i := range m.state.Instances {
		i.Silence = 0
		if since, ok := m.silentSince[n]; ok {
			i.Silence = m.now.Sub(since)
		}
		if i.Replica != "" && !m.neverLoads[n] && !i.Ready && !i.Failed && !m.now.Before(m.loadedAt[n]) {
			i.Ready = true
		}
		m.state.Instances[n] = i
	}
	plan := m.planner.Decide(m.state, m.now)
	for d, p := range plan.Placements {
		if m.writesToLose[d] > 0 {
			m.writesToLose[d]--
			delete(plan.Placements, d)
			continue
		}
		require.Greater(t, p.GetGeneration()+1, m.state.Placements[d].GetGeneration(), "generation of %s", d)
		m.state.Placements[d] = proto.Clone(p).(*wire.Placement)
	}
	for _, a := range plan.Actions {
		fmt.Fprintf(&m.decisions, "%5.1f %-6s %-12s g%d %s: %s\n", m.now.Sub(m.start).Seconds(), a.Event, a.Replica, a.Generation, strings.Join(a.Members, ","), a.Reason)
	}
	m.requireOwnership(t)
	m.deliverOrders(plan)
	m.now = m.now.Add(_step)
}

// requireOwnership requires that no instance is a member of two replicas.
func (m *simulation) requireOwnership(t require.TestingT) {
	owner := map[string]string{}
	for _, d := range slices.Sorted(maps.Keys(m.state.Placements)) {
		for _, r := range m.state.Placements[d].GetReplicas() {
			for _, n := range r.GetMembers() {
				require.Empty(t, owner[n], "%s is in %s too", n, r.GetName())
				owner[n] = r.GetName()
			}
		}
	}
}

// deliverOrders gives each instance that answers the order that its placement asks
// for.
func (m *simulation) deliverOrders(plan planner.Plan) {
	for _, p := range m.state.Placements {
		for _, r := range p.GetReplicas() {
			if plan.Broken[r.GetName()] || r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING {
				continue
			}
			for _, n := range r.GetMembers() {
				i, ok := m.state.Instances[n]
				if _, silent := m.silentSince[n]; silent || !ok || i.Generation >= r.GetGeneration() {
					continue
				}
				m.loads++
				i.Replica, i.Generation, i.Ready, i.Failed = r.GetName(), r.GetGeneration(), false, false
				m.loadedAt[n] = m.now.Add(m.loadTime)
				m.state.Instances[n] = i
			}
		}
	}
}

func seconds(text string) time.Duration {
	f, _ := strconv.ParseFloat(text, 64)
	return time.Duration(f * float64(time.Second))
}
