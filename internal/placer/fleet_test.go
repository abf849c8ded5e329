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

// The latencies are chosen so that a response never arrives at the same virtual
// instant as the round that reads it.
const (
	_storeLatency  = time.Millisecond
	_engineLatency = 7 * time.Millisecond
)

// fleet is an in-memory platform with its engines.
type fleet struct {
	mu      sync.Mutex
	objects map[string]storer.Object
	version uint64
	// unavailable makes every call of the platform fail.
	unavailable bool
	// responsesToLose is the number of next writes that take effect but return
	// ErrUncertain.
	responsesToLose int
	list            map[string]storer.Instance
	engines         map[string]*engine
	// calls counts the calls by kind, bytes the bytes of their bodies, and loads
	// the loads that orders started.
	calls map[string]int
	bytes int
	loads int
	// decoded caches the stored placements as of the version decodedAt.
	decoded   []*wire.Placement
	decodedAt uint64
}

// engine simulates one instance. The fleet's lock guards it.
type engine struct {
	name          string
	fencing       bool
	loadTime      time.Duration
	dead          bool // refuses connections
	hung          bool // never answers
	leaving       bool
	neverLoads    bool // keeps loading
	refusesOrders bool
	inFlight      uint32
	boot          int
	order         engineclient.Order
	state         engineclient.State
	loadedAt      time.Time
}

// newFleet returns a fleet whose fabric domains f0, f1 and so on have perDomain
// engines each.
func newFleet(domains, perDomain int, fencing bool, loadTime time.Duration) *fleet {
	f := &fleet{
		objects: map[string]storer.Object{}, list: map[string]storer.Instance{},
		engines: map[string]*engine{}, calls: map[string]int{},
	}
	for d := range domains {
		for i := range perDomain {
			n := fmt.Sprintf("f%d-%02d", d, i)
			f.engines[n] = &engine{name: n, fencing: fencing, loadTime: loadTime, state: engineclient.StateIdle}
			f.list[n] = storer.Instance{Name: n, Address: n, DataCentre: "dc", Domain: fmt.Sprintf("f%d", d), Kind: "engine", ChecksFencing: fencing}
		}
	}
	return f
}

// withLock calls do while it holds the fleet's lock.
func (f *fleet) withLock(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// move changes an instance's domain in the platform's list. The caller holds the
// lock.
func (f *fleet) move(name, domain string) {
	i := f.list[name]
	i.Domain = domain
	f.list[name] = i
}

// changeEngines calls do for each engine whose name begins with prefix.
func (f *fleet) changeEngines(prefix string, do func(e *engine)) {
	f.withLock(func() {
		for n, e := range f.engines {
			if strings.HasPrefix(n, prefix) {
				do(e)
			}
		}
	})
}

// restart starts the engine anew, without an order.
func (e *engine) restart() {
	e.boot++
	e.order, e.state, e.dead, e.hung = engineclient.Order{}, engineclient.StateIdle, false, false
}

// status ends a load that is due, and returns the status.
func (e *engine) status() engineclient.Status {
	if e.state == engineclient.StateLoading && !e.neverLoads && !time.Now().Before(e.loadedAt) {
		e.state = engineclient.StateReady
	}
	return engineclient.Status{
		Instance: e.name, Boot: fmt.Sprint(e.boot), Replica: e.order.Replica, Generation: e.order.Generation,
		Model: e.order.Model, Version: e.order.Version, Members: e.order.Members, State: e.state,
		Leaving: e.leaving, InFlight: e.inFlight, LoadSeconds: e.loadTime.Seconds(),
	}
}

// acceptOrder accepts an order or refuses it, and starts the load.
func (e *engine) acceptOrder(o engineclient.Order) error {
	if e.refusesOrders || o.Generation < e.order.Generation && e.fencing {
		return engineclient.ErrFenced
	}
	if o.Generation == e.order.Generation && o.Replica == e.order.Replica {
		return nil
	}
	e.order, e.state = o, engineclient.StateIdle
	if o.Replica != "" {
		e.state, e.loadedAt = engineclient.StateLoading, time.Now().Add(e.loadTime)
	}
	return nil
}

// placements decodes the stored placements. The caller holds the lock.
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

// routable reports whether every member's status names the replica and its
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

// connection is one process's connection to the fleet.
type connection struct {
	*fleet
	mu sync.Mutex
	// frozen is nil while the process runs. thaw closes it.
	frozen chan struct{}
	// The process freezes at its next call of freezeKind for a key that begins
	// with freezeKey, unless freezeKind is empty.
	freezeKind, freezeKey string
}

// freeze blocks every call of the process, also those in flight, until thaw.
func (p *connection) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

// freezeAt freezes the process in its next call of the kind for a key that
// begins with key.
func (p *connection) freezeAt(kind, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freezeKind, p.freezeKey = kind, key
}

// thaw lets the calls of a frozen process continue.
func (p *connection) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
	}
	p.frozen = nil
}

// delayCall counts a call and waits for its latency. While the process is frozen
// the call blocks, even after its context has ended, as in a paused process.
func (p *connection) delayCall(kind, key string) {
	latency := _storeLatency
	if kind == "status" || kind == "order" {
		latency = _engineLatency
	}
	time.Sleep(latency)
	p.mu.Lock()
	if p.freezeKind == kind && strings.HasPrefix(key, p.freezeKey) {
		p.freezeKind, p.frozen = "", make(chan struct{})
	}
	c := p.frozen
	p.mu.Unlock()
	if c != nil {
		<-c
	}
	p.withLock(func() { p.calls[kind]++ })
}

func (p *connection) Get(_ context.Context, key string) (storer.Object, error) {
	p.delayCall("get", key)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	o, ok := p.objects[key]
	switch {
	case p.unavailable:
		return o, storer.ErrUnavailable
	case !ok:
		return o, storer.ErrNotFound
	}
	p.bytes += len(o.Value)
	return o, nil
}

func (p *connection) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return p.write(key, 0, value)
}

func (p *connection) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	return p.write(key, version, value)
}

func (p *connection) write(key string, version uint64, value []byte) (uint64, error) {
	p.delayCall("write", key)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.unavailable {
		return 0, storer.ErrUnavailable
	}
	if p.objects[key].Version != version {
		return 0, storer.ErrConflict
	}
	p.version++
	p.bytes += len(value)
	p.objects[key] = storer.Object{Key: key, Version: p.version, Value: value}
	if p.responsesToLose > 0 {
		p.responsesToLose--
		return 0, storer.ErrUncertain
	}
	return p.version, nil
}

func (p *connection) List(_ context.Context, prefix string) ([]storer.Object, error) {
	p.delayCall("list", prefix)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.unavailable {
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

func (p *connection) Instances(context.Context) ([]storer.Instance, error) {
	p.delayCall("instances", "")
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.unavailable {
		return nil, storer.ErrUnavailable
	}
	out := slices.Collect(maps.Values(p.list))
	slices.SortFunc(out, func(a, b storer.Instance) int { return strings.Compare(a.Name, b.Name) })
	text, _ := json.Marshal(out)
	p.bytes += len(text)
	return out, nil
}

func (p *connection) Status(ctx context.Context, address string) (engineclient.Status, error) {
	p.delayCall("status", address)
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

func (p *connection) Order(ctx context.Context, address string, o engineclient.Order) (engineclient.Status, error) {
	p.delayCall("order", address)
	e, err := p.reach(ctx, address)
	if err != nil {
		return engineclient.Status{}, err
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	before := e.order.Generation
	if err := e.acceptOrder(o); err != nil {
		return engineclient.Status{}, err
	}
	if o.Replica != "" && before != o.Generation {
		p.loads++
	}
	return e.status(), nil
}

// reach returns the engine at the address. It fails at once if the engine is dead,
// and when ctx ends if it is hung.
func (p *connection) reach(ctx context.Context, address string) (*engine, error) {
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
