package sharer_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// platform is a fake platform with objects of one kind.
type platform struct {
	mu       sync.Mutex
	revision uint64
	log      []reflector.Change[[]byte]
	changed  chan struct{}
	// watches and lists hold the number of calls of each process.
	watches     map[string]int
	lists       map[string]int
	unavailable map[string]bool
	// silent is true while the platform answers nothing. A call of that time fails only when
	// its time is over.
	silent bool
	// hangs holds how many of the next watches of each process are sent on connections that have
	// gone silent.
	hangs map[string]int
}

// takeHang reports whether the next watch of a process is sent on a silent connection.
func (p *platform) takeHang(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hangs[name] == 0 {
		return false
	}
	p.hangs[name]--
	return true
}

// silenceConnections makes the next watches of a process, n of them, get no answer.
func (p *platform) silenceConnections(name string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hangs = map[string]int{name: n}
}

func (p *platform) put(name, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.log = append(p.log, reflector.Change[[]byte]{Name: name, Value: []byte(value), Deleted: value == ""})
	close(p.changed)
	p.changed = make(chan struct{})
}

// setUnavailable sets whether the platform answers the processes of these names.
func (p *platform) setUnavailable(unavailable bool, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		p.unavailable[name] = unavailable
	}
}

// setSilent begins or ends a time in which the platform answers nothing.
func (p *platform) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	close(p.changed)
	p.changed = make(chan struct{})
}

// watchCount returns the number of watches of a process.
func (p *platform) watchCount(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watches[name]
}

// changeOtherKind changes an object of another kind, which raises the revision only.
func (p *platform) changeOtherKind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.log = append(p.log, reflector.Change[[]byte]{})
}

// changesAfter returns the changes of the kind after a revision.
func (p *platform) changesAfter(revision uint64) []reflector.Change[[]byte] {
	var out []reflector.Change[[]byte]
	for _, c := range p.log[revision:] {
		if c.Name != "" {
			out = append(out, c)
		}
	}
	return out
}

// view is the reflector.Source through which the process of that name reads the
// platform.
type view struct {
	*platform
	name string
}

func (v view) List(ctx context.Context) (reflector.Listing[[]byte], error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.silent {
		v.mu.Unlock()
		defer v.mu.Lock()
		return reflector.Listing[[]byte]{}, awaitTimeout(ctx, time.After(time.Second))
	}
	if v.unavailable[v.name] {
		return reflector.Listing[[]byte]{}, errors.New("platform unavailable")
	}
	v.lists[v.name]++
	out := reflector.Listing[[]byte]{Values: make(map[string][]byte), Revision: v.revision}
	for _, c := range v.changesAfter(0) {
		out.Values[c.Name] = c.Value
		if c.Deleted {
			delete(out.Values, c.Name)
		}
	}
	return out, nil
}

// awaitTimeout waits for the end of a call that gets no answer, and returns its error.
func awaitTimeout(ctx context.Context, end <-chan time.Time) error {
	select {
	case <-end:
	case <-ctx.Done():
	}
	return errors.New("platform does not answer")
}

func (v view) Watch(ctx context.Context, after uint64, wait time.Duration) (reflector.Changes[[]byte], error) {
	end, timeout := time.After(wait), time.After(wait+700*time.Millisecond)
	v.mu.Lock()
	v.watches[v.name]++
	v.mu.Unlock()
	if v.takeHang(v.name) {
		return reflector.Changes[[]byte]{}, awaitTimeout(ctx, timeout)
	}
	for {
		v.mu.Lock()
		now, changes, changed, unavailable, silent := v.revision, v.changesAfter(after), v.changed, v.unavailable[v.name], v.silent
		v.mu.Unlock()
		if silent {
			return reflector.Changes[[]byte]{}, awaitTimeout(ctx, timeout)
		}
		if unavailable {
			return reflector.Changes[[]byte]{}, errors.New("platform unavailable")
		}
		if len(changes) > 0 {
			return reflector.Changes[[]byte]{Revision: now, Changes: changes}, nil
		}
		select {
		case <-changed:
		case <-end:
			return reflector.Changes[[]byte]{Revision: now}, nil
		case <-ctx.Done():
			return reflector.Changes[[]byte]{}, ctx.Err()
		}
	}
}

// process is one process of a system, with the objects and the total load that it has
// received.
type process struct {
	*sharer.Sharer
	mu     sync.Mutex
	values map[string]string
	// probedValues are those of a kind whose source has a probe.
	probedValues map[string]string
	total        sharer.TotalLoad
	dead         bool
}

func (p *process) seenValues() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.values)
}

func (p *process) seenProbedValues() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.probedValues)
}

func (p *process) totalLoad() sharer.TotalLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// membership is the Membership of a process that reads the list of processes from the
// platform itself, unless it has received one.
type membership struct {
	mu       sync.Mutex
	read     []enumerator.Peer // the list that the platform holds
	received *enumerator.Members
	// confirmations is the number of times that a peer has sent or confirmed the list.
	confirmations int
}

func (m *membership) Members() enumerator.Members {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.received != nil {
		return *m.received
	}
	return enumerator.NewMembers(m.read)
}

func (m *membership) HasReadList(time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received == nil
}

func (m *membership) Receive(list enumerator.Members, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received = &list
	m.confirmations++
}

func (m *membership) Confirm(time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmations++
}

// system is a set of processes in the two data centres "a" and "b", with one platform.
// It is their Exchanger.
type system struct {
	platform  *platform
	peers     []enumerator.Peer
	group     sync.WaitGroup
	mu        sync.Mutex
	processes map[string]*process
	// partitioned is true while the data centres can't reach each other.
	partitioned bool
	// probed is true if processes also follow a kind whose source has a probe.
	probed bool
}

// Exchange passes a message to the process at address; it times out if the sender or the
// receiver is dead, or the receiver has not started yet.
func (s *system) Exchange(ctx context.Context, address string, r *wire.Round) (*wire.Round, error) {
	s.mu.Lock()
	to, from := s.processes[address], s.processes[r.GetSender()]
	unreachable := to == nil || to.dead || from.dead || s.partitioned && to.DataCentre != from.DataCentre
	s.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return to.Answer(ctx, r)
}

// partition cuts the data centres off from each other.
func (s *system) partition() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = true
}

func (s *system) kill(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name].dead = true
}

// runSystem runs n processes in each data centre until script returns.
func runSystem(t *testing.T, n int, script func(s *system)) { run(t, n, false, script) }

// runProbedSystem is runSystem with processes that also follow a kind whose source has a
// probe.
func runProbedSystem(t *testing.T, n int, script func(s *system)) { run(t, n, true, script) }

func run(t *testing.T, n int, probed bool, script func(s *system)) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{
			probed:    probed,
			platform:  &platform{changed: make(chan struct{}), watches: make(map[string]int), lists: make(map[string]int), unavailable: make(map[string]bool)},
			processes: make(map[string]*process),
		}
		s.platform.changeOtherKind() // revisions of the platform are above 0
		for i := range 2 * n {
			name := fmt.Sprintf("%s%d", []string{"a", "b"}[i%2], i/2)
			s.peers = append(s.peers, enumerator.Peer{Name: name, DataCentre: name[:1], Address: name})
		}
		ctx, cancel := context.WithCancel(context.Background())
		for _, p := range s.peers {
			s.start(ctx, p)
		}
		script(s)
		cancel()
		s.group.Wait()
	})
}

// peer returns the process of that name in the list of processes.
func (s *system) peer(name string) enumerator.Peer {
	i := slices.IndexFunc(s.peers, func(p enumerator.Peer) bool { return p.Name == name })
	return s.peers[i]
}

// _ownLimits is what some processes saw of limits of upstreams.
var _ownLimits = map[string]map[screener.Life]screener.LimitNotice{
	"a2": {{Upstream: "u", StartedMs: 7}: {Rate: 5, Age: time.Second}, {Upstream: "v", StartedMs: 8}: {Rate: 0.25, Age: 100 * time.Millisecond}},
	"b1": {{Upstream: "u", StartedMs: 7}: {Rate: 2, Age: 100 * time.Millisecond}},
	"b2": {{Upstream: "v", StartedMs: 8}: {Ended: true, Age: time.Second}, {Upstream: "u", StartedMs: 9}: {Ended: true}, {Upstream: "w"}: {Rate: math.NaN()}, {Upstream: "x"}: {Rate: -1}},
}

// start runs a process, which knows nothing at first, until ctx ends.
func (s *system) start(ctx context.Context, p enumerator.Peer) {
	x := &process{Sharer: &sharer.Sharer{
		Name: p.Name, DataCentre: p.DataCentre, Exchanger: s, Membership: &membership{read: s.peers},
		OwnLoad: func() sharer.Load {
			l := sharer.Load{InFlight: map[string]int{"u": 2}, SilentHeads: map[sharer.SilentHead]int{{Upstream: "h", Epoch: 3}: 1}}
			if p.Name == "b1" {
				l.Activity = map[string]time.Duration{"u": 10 * time.Millisecond}
			}
			l.Limits = _ownLimits[p.Name]
			l.LeaseTerm = map[string]uint64{"a2": 3, "b1": 5}[p.Name]
			return l
		},
	}}
	x.Publish = func(c sharer.TotalLoad) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.total = c
	}
	s.mu.Lock()
	s.processes[p.Name] = x
	s.mu.Unlock()
	probe := x.Source("kind", view{s.platform, p.Name})
	s.reflect(ctx, x, probe, &x.values)
	if s.probed {
		source := x.Source("probed", view{s.platform, p.Name})
		source.Probe = probe
		s.reflect(ctx, x, source, &x.probedValues)
	}
	s.group.Go(func() { x.Run(ctx) })
}

// reflect keeps a copy of the objects of a source until ctx ends.
func (s *system) reflect(ctx context.Context, x *process, source *sharer.Source, into *map[string]string) {
	r := &reflector.Reflector[[]byte]{
		Kind: "kind", Source: source, Recovered: source.Recovered,
		Publish: func(_ uint64, values map[string][]byte) {
			x.mu.Lock()
			defer x.mu.Unlock()
			*into = make(map[string]string)
			for k, v := range values {
				(*into)[k] = string(v)
			}
		},
	}
	s.group.Go(func() { r.Run(ctx) })
}
