package sharer_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// platform is a fake platform with objects of one kind.
type platform struct {
	mu          sync.Mutex
	revision    uint64
	log         []reflector.Change[[]byte]
	changed     chan struct{}
	watches     map[string]int
	unavailable map[string]bool
}

func (p *platform) put(name, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.log = append(p.log, reflector.Change[[]byte]{Name: name, Value: []byte(value), Deleted: value == ""})
	close(p.changed)
	p.changed = make(chan struct{})
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

func (v view) List(context.Context) (reflector.Listing[[]byte], error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unavailable[v.name] {
		return reflector.Listing[[]byte]{}, errors.New("platform unavailable")
	}
	out := reflector.Listing[[]byte]{Values: make(map[string][]byte), Revision: v.revision}
	for _, c := range v.changesAfter(0) {
		out.Values[c.Name] = c.Value
		if c.Deleted {
			delete(out.Values, c.Name)
		}
	}
	return out, nil
}

func (v view) Watch(ctx context.Context, after uint64, wait time.Duration) (reflector.Changes[[]byte], error) {
	end := time.After(wait)
	v.mu.Lock()
	v.watches[v.name]++
	v.mu.Unlock()
	for {
		v.mu.Lock()
		now, changes, changed, unavailable := v.revision, v.changesAfter(after), v.changed, v.unavailable[v.name]
		v.mu.Unlock()
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
	total  sharer.TotalLoad
	dead   bool
}

func (p *process) seenValues() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.values)
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
}

// Exchange passes a message to the process at address; it times out if the sender or the
// receiver is dead.
func (s *system) Exchange(ctx context.Context, address string, r *wire.Round) (*wire.Round, error) {
	s.mu.Lock()
	to, from := s.processes[address], s.processes[r.GetSender()]
	unreachable := to.dead || from.dead
	s.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return to.Answer(ctx, r)
}

func (s *system) kill(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name].dead = true
}

// runSystem runs n processes in each data centre until script returns.
func runSystem(t *testing.T, n int, script func(s *system)) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{
			platform:  &platform{changed: make(chan struct{}), watches: make(map[string]int), unavailable: make(map[string]bool)},
			processes: make(map[string]*process),
		}
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

// start runs a process, which knows nothing at first, until ctx ends.
func (s *system) start(ctx context.Context, p enumerator.Peer) {
	x := &process{Sharer: &sharer.Sharer{
		Name: p.Name, DataCentre: p.DataCentre, Exchanger: s, Membership: &membership{read: s.peers}, ReadsDirectly: func() bool { return false },
		OwnLoad: func() sharer.Load {
			return sharer.Load{InFlight: map[string]int{"u": 2}, SilentHeads: map[sharer.SilentHead]int{{Upstream: "h", Epoch: 3}: 1}}
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
	r := &reflector.Reflector[[]byte]{
		Kind: "kind", Source: x.Source("kind", view{s.platform, p.Name}),
		Publish: func(_ uint64, values map[string][]byte) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.values = make(map[string]string)
			for k, v := range values {
				x.values[k] = string(v)
			}
		},
	}
	s.group.Go(func() { x.Run(ctx) })
	s.group.Go(func() { r.Run(ctx) })
}

// Changes reach every process within 450 ms, and only the gatherers watch the platform.
func TestOnlyGatherersWatchPlatform(t *testing.T) {
	runSystem(t, 5, func(s *system) {
		time.Sleep(3 * time.Second)
		s.platform.mu.Lock()
		clear(s.platform.watches)
		s.platform.mu.Unlock()
		for i := range 20 {
			s.platform.put(strconv.Itoa(i%7), strconv.Itoa(i))
			time.Sleep(450 * time.Millisecond)
			for name, p := range s.processes {
				assert.Equal(t, strconv.Itoa(i), p.seenValues()[strconv.Itoa(i%7)], name)
			}
		}
		s.platform.put("3", "")
		time.Sleep(450 * time.Millisecond)
		for name, p := range s.processes {
			assert.NotContains(t, p.seenValues(), "3", name)
		}
		s.platform.mu.Lock()
		defer s.platform.mu.Unlock()
		assert.ElementsMatch(t, []string{"a0", "b0"}, keys(s.platform.watches))
	})
}

// After its gatherer has started again, a process learns of changes through it again,
// although the gatherer has seen no change since.
func TestOnlyGatherersWatchPlatformAfterRestart(t *testing.T) {
	runSystem(t, 4, func(s *system) {
		s.platform.put("x", "1")
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				s.platform.changeOtherKind()
			}
		}
		run(3 * time.Second)
		s.kill("a0")
		run(2 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s.start(ctx, s.peers[0])
		run(12 * time.Second)
		s.platform.mu.Lock()
		clear(s.platform.watches)
		s.platform.mu.Unlock()
		run(10 * time.Second)
		s.platform.mu.Lock()
		defer s.platform.mu.Unlock()
		assert.ElementsMatch(t, []string{"a0", "b0"}, keys(s.platform.watches))
	})
}

// A change too large for the gatherer to pass on reaches every process within a second,
// since each reads it from the platform.
func TestLargeChangeIsReadDirectly(t *testing.T) {
	runSystem(t, 4, func(s *system) {
		time.Sleep(3 * time.Second)
		s.platform.mu.Lock()
		clear(s.platform.watches)
		s.platform.mu.Unlock()
		large := strings.Repeat("x", 200<<10)
		s.platform.put("large", large)
		time.Sleep(time.Second)
		for name, p := range s.processes {
			assert.Equal(t, large, p.seenValues()["large"], name)
		}
		s.platform.mu.Lock()
		defer s.platform.mu.Unlock()
		assert.Len(t, s.platform.watches, 8)
	})
}

// A process whose gatherer is dead, or can't reach the platform, still learns of a
// change within two seconds.
func TestChangesWithoutGatherer(t *testing.T) {
	for _, how := range []string{"dead", "without the platform"} {
		runSystem(t, 4, func(s *system) {
			time.Sleep(3 * time.Second)
			if how == "dead" {
				s.kill("a0")
			} else {
				s.platform.mu.Lock()
				s.platform.unavailable["a0"] = true
				s.platform.mu.Unlock()
			}
			s.platform.put("x", "1")
			time.Sleep(2 * time.Second)
			for name, p := range s.processes {
				if name != "a0" {
					assert.Equal(t, "1", p.seenValues()["x"], "%s: %s", how, name)
				}
			}
		})
	}
}

// Every process receives the total load; a dead process no longer counts in it.
func TestTotalLoad(t *testing.T) {
	runSystem(t, 3, func(s *system) {
		time.Sleep(3 * time.Second)
		for name, p := range s.processes {
			assert.Equal(t, 12, p.totalLoad().InFlight["u"], name)
			assert.Equal(t, 6, p.totalLoad().Processes, name)
			assert.Equal(t, 6, p.totalLoad().SilentHeads[sharer.SilentHead{Upstream: "h", Epoch: 3}], name)
		}
		s.kill("b1")
		time.Sleep(3 * time.Second)
		for name, p := range s.processes {
			if name != "b1" {
				assert.Equal(t, 10, p.totalLoad().InFlight["u"], name)
			}
		}
	})
}

func keys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	return out
}

// A process that has the same list of processes as its gatherer is told so, and one
// with an older list receives the gatherer's. The gatherer is the process with the
// largest share of a processor.
func TestMembersComeFromGatherer(t *testing.T) {
	runSystem(t, 4, func(s *system) {
		current := slices.Clone(s.peers)
		strong := slices.IndexFunc(current, func(p enumerator.Peer) bool { return p.Name == "a2" })
		current[strong].ProcessorShare = 0.8
		for name, p := range s.processes {
			m := p.Membership.(*membership)
			m.mu.Lock()
			m.read = current
			if name == "a3" {
				m.read = s.peers[:len(s.peers)-1] // a3 knows neither b3 nor that a2 is strong
			}
			m.mu.Unlock()
		}
		time.Sleep(2 * time.Second)
		assert.True(t, s.processes["a2"].IsGatherer())
		m := s.processes["a1"].Membership.(*membership)
		m.mu.Lock()
		defer m.mu.Unlock()
		assert.Positive(t, m.confirmations)
		assert.Nil(t, m.received)
		assert.Equal(t, enumerator.NewMembers(current), s.processes["a3"].Membership.Members())
	})
}

// One sum of the loads serves the answers to several peers, for a short time: a
// gatherer with many peers answers each of them several times a second.
func TestAnswersShareSum(t *testing.T) {
	runSystem(t, 2, func(s *system) {
		ask := func() *wire.UpstreamLoad {
			answer, err := s.processes["a0"].Answer(t.Context(), &wire.Round{Sender: "a1", DataCentre: "a"})
			assert.NoError(t, err)
			return answer.GetLoads()[0]
		}
		first := ask()
		assert.Same(t, first, ask())
		time.Sleep(60 * time.Millisecond)
		assert.NotSame(t, first, ask())
	})
}
