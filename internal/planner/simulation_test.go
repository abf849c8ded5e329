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

// runCommand runs one command of a script, without its time. The commands are:
//
//	domain DOMAIN INSTANCE...        lists instances in a domain
//	group GROUP [KEY=VALUE]...       declares a group or changes its settings
//	ungroup GROUP                    removes a group from the configuration
//	load SECONDS                     sets how long a load takes
//	max-loads N                      sets the limit of concurrent loads
//	lose DOMAIN                      loses the next write of the domain's placement
//	delist INSTANCE                  removes an instance from the list
//	silent, back INSTANCE...         probes fail, or are answered again
//	restart INSTANCE...              restarts engines, without an order
//	leave INSTANCE...                instances are leaving
//	busy=N INSTANCE...               sets the number of requests in flight
//	move=DOMAIN INSTANCE...          moves instances to another domain
//	fail INSTANCE...                 the instances report a failure
//	endless INSTANCE...              loads never finish
//	unknown, known INSTANCE...       no probe was answered yet, or one was
//	obeyed=GENERATION INSTANCE...    instances accepted another replica's order
func (s *simulation) runCommand(command string, args ...string) error {
	switch command {
	case "domain":
		for _, n := range args[1:] {
			s.state.Instances[n] = planner.Instance{Name: n, Address: n, Domain: args[0], Answered: true, Boot: "1"}
		}
	case "group":
		return s.setGroup(args[0], args[1:])
	case "ungroup":
		delete(s.state.Document.Groups, args[0])
	case "load":
		s.loadTime = seconds(args[0])
	case "max-loads":
		s.state.Document.Policy.MaxLoads, _ = strconv.Atoi(args[0])
	case "lose":
		s.writesToLose[args[0]]++
	case "delist":
		delete(s.state.Instances, args[0])
	default:
		for _, n := range args {
			i, ok := s.state.Instances[n]
			if !ok {
				return fmt.Errorf("no instance %s", n)
			}
			if err := s.changeInstance(command, &i); err != nil {
				return err
			}
			s.state.Instances[n] = i
		}
	}
	return nil
}

// changeInstance applies a command to an instance.
func (s *simulation) changeInstance(command string, i *planner.Instance) error {
	switch verb, value, _ := strings.Cut(command, "="); verb {
	case "silent":
		s.silentSince[i.Name] = s.now
	case "back":
		delete(s.silentSince, i.Name)
	case "restart":
		delete(s.silentSince, i.Name)
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
		s.neverLoads[i.Name] = true
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
func (s *simulation) setGroup(name string, args []string) error {
	g := s.state.Document.Groups[name]
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
	s.state.Document.Groups[name] = g
	return nil
}

// step decides once, stores the plan, delivers the orders and advances the time by
// _step.
func (s *simulation) step(t require.TestingT) {
	for n, i := range s.state.Instances {
		i.Silence = 0
		if since, ok := s.silentSince[n]; ok {
			i.Silence = s.now.Sub(since)
		}
		if i.Replica != "" && !s.neverLoads[n] && !i.Ready && !i.Failed && !s.now.Before(s.loadedAt[n]) {
			i.Ready = true
		}
		s.state.Instances[n] = i
	}
	plan := s.planner.Decide(s.state, s.now)
	for d, p := range plan.Placements {
		if s.writesToLose[d] > 0 {
			s.writesToLose[d]--
			delete(plan.Placements, d)
			continue
		}
		require.Greater(t, p.GetGeneration()+1, s.state.Placements[d].GetGeneration(), "generation of %s", d)
		s.state.Placements[d] = proto.Clone(p).(*wire.Placement)
	}
	for _, a := range plan.Actions {
		fmt.Fprintf(&s.decisions, "%5.1f %-6s %-12s g%d %s: %s\n", s.now.Sub(s.start).Seconds(), a.Kind, a.Replica, a.Generation, strings.Join(a.Members, ","), a.Reason)
	}
	s.requireOwnership(t)
	s.deliverOrders(plan)
	s.now = s.now.Add(_step)
}

// requireOwnership requires that no instance is a member of two replicas.
func (s *simulation) requireOwnership(t require.TestingT) {
	owner := map[string]string{}
	for _, d := range slices.Sorted(maps.Keys(s.state.Placements)) {
		for _, r := range s.state.Placements[d].GetReplicas() {
			for _, n := range r.GetMembers() {
				require.Empty(t, owner[n], "%s is in %s too", n, r.GetName())
				owner[n] = r.GetName()
			}
		}
	}
}

// deliverOrders gives each instance that answers the order that its placement asks
// for.
func (s *simulation) deliverOrders(plan planner.Plan) {
	for _, p := range s.state.Placements {
		for _, r := range p.GetReplicas() {
			if plan.Broken[r.GetName()] || r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING {
				continue
			}
			for _, n := range r.GetMembers() {
				i, ok := s.state.Instances[n]
				if _, silent := s.silentSince[n]; silent || !ok || i.Generation >= r.GetGeneration() {
					continue
				}
				s.loads++
				i.Replica, i.Generation, i.Ready, i.Failed = r.GetName(), r.GetGeneration(), false, false
				s.loadedAt[n] = s.now.Add(s.loadTime)
				s.state.Instances[n] = i
			}
		}
	}
}

// seconds parses a decimal number of seconds.
func seconds(text string) time.Duration {
	f, _ := strconv.ParseFloat(text, 64)
	return time.Duration(f * float64(time.Second))
}
