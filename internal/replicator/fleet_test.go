package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

var errCut = errors.New("no answer")

// latency is the time that a digest takes one way.
const latency = time.Millisecond

// fleet is a number of processes before one store, without sockets.
type fleet struct {
	store   *standin.Store
	members []*member
	byPeer  map[string]*member
	direct  bool // every process watches the platform itself

	mu        sync.Mutex
	cut       map[string]bool // data centres without any outside
	severed   bool            // no peer reaches another data centre
	bytes     int
	exchanges int
}

// member is one process.
type member struct {
	fleet         *fleet
	name          string
	dataCentre    string
	configuration *configurer.Configurer
	placements    *watcher.Watcher
	replicator    *replicator.Replicator
	leaving       atomic.Pointer[map[string]string]
	cancel        context.CancelFunc
	group         sync.WaitGroup
}

func newFleet() *fleet {
	return &fleet{store: standin.NewStore(), byPeer: make(map[string]*member), cut: make(map[string]bool)}
}

// add makes a process that knows the seeds.
func (f *fleet) add(dataCentre string, n int, seeds ...string) *member {
	m := &member{fleet: f, name: fmt.Sprintf("%s-%03d", dataCentre, n), dataCentre: dataCentre}
	f.members = append(f.members, m)
	m.start(seeds...)
	return m
}

func (m *member) start(seeds ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	seed := uint64(len(m.fleet.members))
	turns := [2]*reader.Schedule{{Seed: seed}, {Seed: seed + 1<<32}}
	view := &platform{Store: m.fleet.store, cut: func() bool { return m.fleet.isCut(m.dataCentre) }}
	m.configuration = configurer.New(view, turns[0], logger.Logger{})
	m.placements = watcher.New(view, turns[1], logger.Logger{})
	address := m.name + ":1"
	m.replicator = replicator.New(replicator.Options{
		Self: &wire.ProcessRecord{
			Name: m.name, Role: "entry", DataCentre: m.dataCentre, PeerAddress: address, OperatorAddress: "10.123.123.123:8100",
			StartedUnixMs: time.Now().UnixMilli(),
		},
		Exchanger: m, Configuration: m.configuration, Placements: m.placements,
		ConfigurationSchedule: turns[0], PlacementsSchedule: turns[1],
		LeavingInstances: m.departures, Seeds: seeds, Seed: seed,
	})
	if !m.fleet.direct {
		turns[0].Designated = m.replicator.IsDesignatedReader
		turns[1].Designated = func() bool { return false }
	}
	m.fleet.mu.Lock()
	m.fleet.byPeer[address] = m
	m.fleet.mu.Unlock()
	m.group.Go(func() { m.replicator.Run(ctx) })
	m.group.Go(func() { m.configuration.Run(ctx) })
	m.group.Go(func() { m.placements.Run(ctx) })
}

// departures are the instances that the process itself finds to leave.
func (m *member) departures() map[string]string {
	if p := m.leaving.Load(); p != nil {
		return *p
	}
	return nil
}

// stop ends the process at once.
func (m *member) stop() {
	m.fleet.mu.Lock()
	delete(m.fleet.byPeer, m.name+":1")
	m.fleet.mu.Unlock()
	m.cancel()
	m.group.Wait()
}

func (f *fleet) close() {
	for _, m := range f.members {
		m.cancel()
	}
	for _, m := range f.members {
		m.group.Wait()
	}
}

func (f *fleet) isCut(dataCentre string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[dataCentre]
}

func (f *fleet) setCut(dataCentre string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[dataCentre] = cut
}

// sever cuts peers of different data centres from each other.
func (f *fleet) sever() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.severed = true
}

// Exchange carries a digest to another process and counts both messages.
func (m *member) Exchange(ctx context.Context, address string, d *wire.Digest) (*wire.Digest, error) {
	to := m.fleet.reach(m, address)
	time.Sleep(latency)
	if to == nil {
		<-ctx.Done()
		return nil, errCut
	}
	answer, err := to.replicator.Answer(ctx, proto.CloneOf(d))
	if err != nil {
		return nil, err
	}
	time.Sleep(latency)
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.bytes += proto.Size(d) + proto.Size(answer)
	m.fleet.exchanges++
	return proto.CloneOf(answer), nil
}

// counts returns the bytes and the number of the exchanges so far.
func (f *fleet) counts() (bytes, exchanges int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes, f.exchanges
}

func (f *fleet) reach(from *member, address string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.byPeer[address]
	if to != nil && to.dataCentre != from.dataCentre && (f.severed || f.cut[to.dataCentre] || f.cut[from.dataCentre]) {
		return nil
	}
	return to
}

// behind returns the processes, out of those given, that run another number.
func behind(members []*member, number uint64) []string {
	var out []string
	for _, m := range members {
		if m.configuration.Current().Number() != number {
			out = append(out, m.name)
		}
	}
	return out
}

// platform is one process's way to the store.
type platform struct {
	*standin.Store
	cut func() bool
}

func (p *platform) Get(ctx context.Context, key string) (storer.Object, error) {
	if p.cut() {
		return storer.Object{}, storer.ErrUnavailable
	}
	return p.Store.Get(ctx, key)
}

func (p *platform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	if p.cut() {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, err := p.Store.Watch(ctx, key, after, wait)
	if p.cut() {
		return storer.Object{}, storer.ErrUnavailable
	}
	return o, err
}

func (p *platform) List(ctx context.Context, prefix string) ([]storer.Object, error) {
	if p.cut() {
		return nil, storer.ErrUnavailable
	}
	return p.Store.List(ctx, prefix)
}
