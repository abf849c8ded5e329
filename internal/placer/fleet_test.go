package placer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// The latencies keep an answer and the round that reads it at distinct
// instants.
const (
	_storeLatency  = time.Millisecond
	_engineLatency = 7 * time.Millisecond
)

// fleet is a platform and its engines in memory.
type fleet struct {
	mu      sync.Mutex
	objects map[string]storer.Object
	version uint64
	out     bool
	lose    int
	list    map[string]storer.Instance
	engines map[string]*engine
	calls   map[string]int
	bytes   int
	loads   int
	// decoded is the placements at the version decodedAt.
	decoded   []*wire.Placement
	decodedAt uint64
}

// engine is a model of one instance. The fleet's lock guards it.
type engine struct {
	name     string
	fencing  bool
	loadTime time.Duration
	dead     bool
	hung     bool
	leaving  bool
	endless  bool
	deaf     bool // refuses every order
	inFlight uint32
	boot     int
	order    engineclient.Order
	state    engineclient.State
	loaded   time.Time
}

func newFleet(domains, each int, fencing bool, load time.Duration) *fleet {
	f := &fleet{
		objects: map[string]storer.Object{}, list: map[string]storer.Instance{},
		engines: map[string]*engine{}, calls: map[string]int{},
	}
	for d := range domains {
		for i := range each {
			n := fmt.Sprintf("f%d-%02d", d, i)
			f.engines[n] = &engine{name: n, fencing: fencing, loadTime: load, state: engineclient.StateIdle}
			f.list[n] = storer.Instance{Name: n, Address: n, DataCentre: "dc", Domain: fmt.Sprintf("f%d", d), Kind: "engine", ChecksFencing: fencing}
		}
	}
	return f
}

// change changes the fleet under its lock.
func (f *fleet) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// move names an instance in another domain. The caller holds the lock.
func (f *fleet) move(name, domain string) {
	i := f.list[name]
	i.Domain = domain
	f.list[name] = i
}

// on changes the engines of that prefix.
func (f *fleet) on(prefix string, do func(e *engine)) {
	f.change(func() {
		for n, e := range f.engines {
			if strings.HasPrefix(n, prefix) {
				do(e)
			}
		}
	})
}

func (e *engine) restart() {
	e.boot++
	e.order, e.state, e.dead, e.hung = engineclient.Order{}, engineclient.StateIdle, false, false
}

func (e *engine) status() engineclient.Status {
	if e.state == engineclient.StateLoading && !e.endless && !time.Now().Before(e.loaded) {
		e.state = engineclient.StateReady
	}
	return engineclient.Status{
		Instance: e.name, Boot: fmt.Sprint(e.boot), Replica: e.order.Replica, Generation: e.order.Generation,
		Model: e.order.Model, Version: e.order.Version, Members: e.order.Members, State: e.state,
		Leaving: e.leaving, InFlight: e.inFlight, LoadSeconds: e.loadTime.Seconds(),
	}
}

func (e *engine) obey(o engineclient.Order) error {
	if e.deaf || o.Generation < e.order.Generation && e.fencing {
		return engineclient.ErrFenced
	}
	if o.Generation == e.order.Generation && o.Replica == e.order.Replica {
		return nil
	}
	e.order, e.state = o, engineclient.StateIdle
	if o.Replica != "" {
		e.state, e.loaded = engineclient.StateLoading, time.Now().Add(e.loadTime)
	}
	return nil
}

// placements decodes what is stored. The caller holds the lock.
func (f *fleet) placements() []*wire.Placement {
	if f.decoded != nil && f.decodedAt == f.version {
		return f.decoded
	}
	var out []*wire.Placement
	for _, k := range slices.Sorted(maps.Keys(f.objects)) {
		if strings.HasPrefix(k, "placement/") {
			p := &wire.Placement{}
			if err := protojson.Unmarshal(f.objects[k].Value, p); err != nil {
				panic(err)
			}
			out = append(out, p)
		}
	}
	f.decoded, f.decodedAt = out, f.version
	return out
}

// routable says that every member's own status names the replica and its
// generation as ready.
func (f *fleet) routable(r *wire.Replica) bool {
	for _, m := range r.GetMembers() {
		e, ok := f.engines[m]
		if !ok || e.dead || e.hung {
			return false
		}
		s := e.status()
		if s.State != engineclient.StateReady || s.Replica != r.GetName() || s.Generation != r.GetGeneration() {
			return false
		}
	}
	return true
}

// port is one process's connection to the fleet.
type port struct {
	*fleet
	mu     sync.Mutex
	frozen chan struct{}
	// at freezes the process at its next call of a kind whose key starts so.
	at, key string
}

// freeze stops every call of the process, those under way too, until thaw.
func (p *port) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

// freezeAt freezes the process in its next call of that kind and key.
func (p *port) freezeAt(kind, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at, p.key = kind, key
}

func (p *port) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
	}
	p.frozen = nil
}

// enter counts a call and waits as a paused process does, deaf to its context.
func (p *port) enter(kind, key string) {
	latency := _storeLatency
	if kind == "status" || kind == "order" {
		latency = _engineLatency
	}
	time.Sleep(latency)
	p.mu.Lock()
	if p.at == kind && strings.HasPrefix(key, p.key) {
		p.at, p.frozen = "", make(chan struct{})
	}
	c := p.frozen
	p.mu.Unlock()
	if c != nil {
		<-c
	}
	p.change(func() { p.calls[kind]++ })
}

func (p *port) Get(_ context.Context, key string) (storer.Object, error) {
	p.enter("get", key)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	o, ok := p.objects[key]
	switch {
	case p.out:
		return o, storer.ErrUnavailable
	case !ok:
		return o, storer.ErrNotFound
	}
	p.bytes += len(o.Value)
	return o, nil
}

func (p *port) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return p.write(key, 0, value)
}

func (p *port) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	return p.write(key, version, value)
}

func (p *port) write(key string, version uint64, value []byte) (uint64, error) {
	p.enter("write", key)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.out {
		return 0, storer.ErrUnavailable
	}
	if p.objects[key].Version != version {
		return 0, storer.ErrConflict
	}
	p.version++
	p.bytes += len(value)
	p.objects[key] = storer.Object{Key: key, Version: p.version, Value: value}
	if p.lose > 0 {
		p.lose--
		return 0, storer.ErrUncertain
	}
	return p.version, nil
}

func (p *port) List(_ context.Context, prefix string) ([]storer.Object, error) {
	p.enter("list", prefix)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.out {
		return nil, storer.ErrUnavailable
	}
	var out []storer.Object
	for _, k := range slices.Sorted(maps.Keys(p.objects)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, p.objects[k])
			p.bytes += len(p.objects[k].Value)
		}
	}
	return out, nil
}

func (p *port) Instances(context.Context) ([]storer.Instance, error) {
	p.enter("instances", "")
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.out {
		return nil, storer.ErrUnavailable
	}
	out := slices.Collect(maps.Values(p.list))
	slices.SortFunc(out, func(a, b storer.Instance) int { return strings.Compare(a.Name, b.Name) })
	text, _ := json.Marshal(out)
	p.bytes += len(text)
	return out, nil
}

func (p *port) Status(ctx context.Context, address string) (engineclient.Status, error) {
	p.enter("status", address)
	e, err := p.reach(ctx, address)
	if err != nil {
		return engineclient.Status{}, err
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	s := e.status()
	text, _ := json.Marshal(s)
	p.bytes += len(text)
	return s, nil
}

func (p *port) Order(ctx context.Context, address string, o engineclient.Order) (engineclient.Status, error) {
	p.enter("order", address)
	e, err := p.reach(ctx, address)
	if err != nil {
		return engineclient.Status{}, err
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	before := e.order.Generation
	if err := e.obey(o); err != nil {
		return engineclient.Status{}, err
	}
	if o.Replica != "" && before != o.Generation {
		p.loads++
	}
	return e.status(), nil
}

func (p *port) reach(ctx context.Context, address string) (*engine, error) {
	p.fleet.mu.Lock()
	e, ok := p.engines[address]
	dead := !ok || e.dead
	hung := ok && e.hung
	p.fleet.mu.Unlock()
	if hung {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if dead {
		return nil, fmt.Errorf("connect to %s: refused", address)
	}
	return e, nil
}
