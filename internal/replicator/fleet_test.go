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
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

var errNoAnswer = errors.New("no answer")

// latency is the time that a digest takes from one process to another.
const latency = time.Millisecond

// fleet is a set of processes that share one store and exchange digests without sockets.
type fleet struct {
	store     *standin.Store
	members   []*member
	byAddress map[string]*member
	direct    bool // every process reads the platform itself, designated or not

	mu          sync.Mutex
	isolated    map[string]bool // data centres that reach neither the platform nor other data centres
	partitioned bool            // no process reaches a process of another data centre
	bytes       int
	exchanges   int
}

// member is one process of the fleet.
type member struct {
	fleet         *fleet
	name          string
	dataCentre    string
	configuration *configurer.Configurer
	placements    *placementtracker.Tracker
	replicator    *replicator.Replicator
	leaving       atomic.Pointer[map[string]string]
	cancel        context.CancelFunc
	group         sync.WaitGroup
}

// newFleet returns a fleet without processes.
func newFleet() *fleet {
	return &fleet{store: standin.NewStore(), byAddress: make(map[string]*member), isolated: make(map[string]bool)}
}

// add starts a process with the number n in its name and the given seeds.
func (f *fleet) add(dataCentre string, n int, seeds ...string) *member {
	m := &member{fleet: f, name: fmt.Sprintf("%s-%03d", dataCentre, n), dataCentre: dataCentre}
	f.members = append(f.members, m)
	m.start(seeds...)
	return m
}

// start creates the services of the process and runs them.
func (m *member) start(seeds ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	seed := uint64(len(m.fleet.members))
	schedules := [2]*reader.Schedule{{Seed: seed}, {Seed: seed + 1<<32}}
	access := &platform{Store: m.fleet.store, isolated: func() bool { return m.fleet.isIsolated(m.dataCentre) }}
	m.configuration = configurer.New(access, schedules[0], logger.Logger{})
	m.placements = placementtracker.New(access, schedules[1], logger.Logger{})
	address := m.name + ":1"
	m.replicator = replicator.New(replicator.Options{
		Self: &wire.ProcessRecord{
			Name: m.name, Role: "entry", DataCentre: m.dataCentre, PeerAddress: address, OperatorAddress: "10.123.123.123:8100",
			StartedUnixMs: time.Now().UnixMilli(),
		},
		Exchanger: m, Configuration: m.configuration, Placements: m.placements,
		ConfigurationSchedule: schedules[0], PlacementsSchedule: schedules[1],
		LeavingInstances: m.leavingInstances, Seeds: seeds, Seed: seed,
	})
	if !m.fleet.direct {
		schedules[0].Designated = m.replicator.IsDesignatedReader
		schedules[1].Designated = func() bool { return false }
	}
	m.fleet.mu.Lock()
	m.fleet.byAddress[address] = m
	m.fleet.mu.Unlock()
	m.group.Go(func() { m.replicator.Run(ctx) })
	m.group.Go(func() { m.configuration.Run(ctx) })
	m.group.Go(func() { m.placements.Run(ctx) })
}

// leavingInstances returns the boots of the instances that the process itself found to be
// leaving, by instance name.
func (m *member) leavingInstances() map[string]string {
	if p := m.leaving.Load(); p != nil {
		return *p
	}
	return nil
}

// stop ends the process without notice to its peers.
func (m *member) stop() {
	m.fleet.mu.Lock()
	delete(m.fleet.byAddress, m.name+":1")
	m.fleet.mu.Unlock()
	m.cancel()
	m.group.Wait()
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.members {
		m.cancel()
	}
	for _, m := range f.members {
		m.group.Wait()
	}
}

func (f *fleet) isIsolated(dataCentre string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolated[dataCentre]
}

// setIsolated disconnects a data centre from the platform and the other data centres, or
// reconnects it.
func (f *fleet) setIsolated(dataCentre string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[dataCentre] = isolated
}

// partition separates the processes of different data centres from each other.
func (f *fleet) partition() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = true
}

// Exchange delivers a digest to another process, and counts the bytes of both digests.
func (m *member) Exchange(ctx context.Context, address string, d *wire.Digest) (*wire.Digest, error) {
	to := m.fleet.findPeer(m, address)
	time.Sleep(latency)
	if to == nil {
		<-ctx.Done()
		return nil, errNoAnswer
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

// counts returns the total bytes and the number of the exchanges so far.
func (f *fleet) counts() (bytes, exchanges int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes, f.exchanges
}

// findPeer returns the process at the address, or nil if from can't reach it.
func (f *fleet) findPeer(from *member, address string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.byAddress[address]
	if to != nil && to.dataCentre != from.dataCentre && (f.partitioned || f.isolated[to.dataCentre] || f.isolated[from.dataCentre]) {
		return nil
	}
	return to
}

// outdated returns the names of those members whose configuration has another number.
func outdated(members []*member, number uint64) []string {
	var out []string
	for _, m := range members {
		if m.configuration.Current().Number() != number {
			out = append(out, m.name)
		}
	}
	return out
}

// platform is one process's access to the store. Reads fail while the process's data centre
// is isolated.
type platform struct {
	*standin.Store
	isolated func() bool
}

func (p *platform) Get(ctx context.Context, key string) (storer.Object, error) {
	if p.isolated() {
		return storer.Object{}, storer.ErrUnavailable
	}
	return p.Store.Get(ctx, key)
}

func (p *platform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	if p.isolated() {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, err := p.Store.Watch(ctx, key, after, wait)
	if p.isolated() {
		return storer.Object{}, storer.ErrUnavailable
	}
	return o, err
}

func (p *platform) List(ctx context.Context, prefix string) ([]storer.Object, error) {
	if p.isolated() {
		return nil, storer.ErrUnavailable
	}
	return p.Store.List(ctx, prefix)
}
