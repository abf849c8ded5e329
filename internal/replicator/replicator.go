package replicator

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/gossiper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _roundInterval is the time between two rounds of exchanges. Each interval is
	// shortened by a random duration below _roundJitter.
	_roundInterval = 1100 * time.Millisecond
	_roundJitter   = 200 * time.Millisecond
	// _notificationInterval is the least time between two notifications of peers.
	_notificationInterval = 50 * time.Millisecond
	// _exchangeTimeout bounds one exchange.
	_exchangeTimeout = time.Second
	// _seedRounds is the number of rounds from one attempt to reach the seeds to the next.
	_seedRounds = 3
	// _expiryRounds is the number of rounds from one removal of expired entries to the next.
	_expiryRounds = 10
	// _maxFollowUps bounds the exchanges with one peer that directly follow another because
	// one of the two processes still lacks something.
	_maxFollowUps = 4
)

// Exchanger sends a digest to the peer at an address and returns the peer's answer.
type Exchanger interface {
	Exchange(ctx context.Context, address string, d *wire.Digest) (*wire.Digest, error)
}

// Configuration holds the configuration in force and applies newer ones.
type Configuration interface {
	Current() configurer.Snapshot
	Changed() <-chan struct{}
	ApplyRecord(record *wire.ConfigurationRecord, source string) bool
	ApplyChanges(changes []*wire.ConfigurationChange, source string) bool
}

// Placements holds the known placements and applies newer ones.
type Placements interface {
	View() placementtracker.View
	Changed() <-chan struct{}
	ApplyPlacement(p *wire.Placement) bool
}

// Options configure a Replicator.
type Options struct {
	// Self describes the process: name, role, data centre, addresses and start.
	Self          *wire.ProcessRecord
	Exchanger     Exchanger
	Configuration Configuration
	Placements    Placements
	// ConfigurationSchedule and PlacementsSchedule are notified when any process has read
	// the configuration or the placements. If only designated readers are to read, set the
	// schedule's Designated to the Replicator's IsDesignatedReader.
	ConfigurationSchedule *reader.Schedule
	PlacementsSchedule    *reader.Schedule
	// Draining reports whether the process refuses new work; nil means never.
	Draining func() bool
	// LeavingInstances returns the boot of each instance that this process itself found to
	// be leaving, by instance name; nil means none.
	LeavingInstances func() map[string]string
	// Seeds are the peer addresses to exchange digests with while no process of another data
	// centre is live.
	Seeds []string
	Log   logger.Logger
	// Seed seeds the random choice of peers and the jitter of the rounds.
	Seed uint64
}

// Replicator exchanges digests with peers. Make it with New and start it with Run. It is
// safe for concurrent use.
type Replicator struct {
	options          Options
	designatedReader atomic.Bool
	// leaving holds the boots of all instances known to be leaving, by instance name.
	leaving atomic.Pointer[map[string]string]

	// tasks carries functions that the goroutine of Run is to call.
	tasks chan func()
	done  chan struct{}
	group sync.WaitGroup

	// Only the goroutine of Run uses the fields below.
	gossiper *gossiper.Gossiper
	random   *rand.Rand
	rounds   int
	// inProgress holds the peer addresses with an exchange in progress, repeat those where
	// another exchange has to follow it, and unreachable those whose last exchange failed.
	inProgress  map[string]bool
	repeat      map[string]bool
	unreachable map[string]bool
	// notification fires when peers are to be notified of changes. notificationDue says
	// that it is set.
	notification    *time.Timer
	notificationDue bool
	notifiedAt      time.Time
}

// New returns a Replicator that has no peers yet and is a designated reader.
func New(o Options) *Replicator {
	r := &Replicator{
		options: o, tasks: make(chan func()), done: make(chan struct{}),
		gossiper: gossiper.New(o.Self, o.Seed, time.Now()), random: rand.New(rand.NewPCG(o.Seed, 2)),
		inProgress: make(map[string]bool), repeat: make(map[string]bool), unreachable: make(map[string]bool),
	}
	r.designatedReader.Store(true)
	return r
}

// IsDesignatedReader reports whether this process is one of its data centre's designated
// readers of the platform.
func (r *Replicator) IsDesignatedReader() bool { return r.designatedReader.Load() }

// Leaving reports whether any process found the instance to be leaving, and returns the
// boot, which identifies the run of the instance; it is empty if not known.
func (r *Replicator) Leaving(instance string) (boot string, ok bool) {
	all := r.leaving.Load()
	if all == nil {
		return "", false
	}
	boot, ok = (*all)[instance]
	return boot, ok
}

// Run exchanges digests until ctx ends, and then waits for the exchanges in progress.
func (r *Replicator) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.group.Wait()
	defer close(r.done)
	defer cancel()
	round := time.NewTimer(0)
	defer round.Stop()
	r.notification = time.NewTimer(time.Hour)
	defer r.notification.Stop()
	for {
		// The channels are fetched before the state is read, so that a change between the
		// two is not missed.
		configurationChanged, placementsChanged := r.options.Configuration.Changed(), r.options.Placements.Changed()
		if r.gossiper.Update(r.localState(), time.Now()) {
			r.scheduleNotification()
		}
		select {
		case <-ctx.Done():
			return
		case f := <-r.tasks:
			f()
		case <-configurationChanged:
		case <-placementsChanged:
		case <-r.notification.C:
			r.notifyPeers(ctx)
		case <-round.C:
			r.startRound(ctx)
			round.Reset(_roundInterval - time.Duration(r.random.Int64N(int64(_roundJitter))))
		}
	}
}

// runInLoop has the goroutine of Run call f, and does not wait for its end. It reports
// false if Run has ended or ctx ends first.
func (r *Replicator) runInLoop(ctx context.Context, f func()) bool {
	select {
	case r.tasks <- f:
		return true
	case <-r.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// localState returns the process's own state.
func (r *Replicator) localState() gossiper.LocalState {
	o := r.options
	return gossiper.LocalState{
		Configuration: o.Configuration.Current().Record(), Placements: o.Placements.View().Placements(),
		Draining: o.Draining != nil && o.Draining(), ConfigurationRead: o.ConfigurationSchedule.LastRead(),
		PlacementsRead: o.PlacementsSchedule.LastRead(),
	}
}

// scheduleNotification arranges that peers are notified of changes as soon as
// _notificationInterval allows.
func (r *Replicator) scheduleNotification() {
	if r.notificationDue {
		return
	}
	r.notificationDue = true
	r.notification.Reset(max(0, _notificationInterval-time.Since(r.notifiedAt)))
}

// notifyPeers starts an exchange with each peer that is to be notified of changes.
func (r *Replicator) notifyPeers(ctx context.Context) {
	r.notificationDue, r.notifiedAt = false, time.Now()
	for _, t := range r.gossiper.NotificationTargets(time.Now()) {
		r.exchange(ctx, t, 0)
	}
}

// startRound updates the leaving instances and whether this process is a designated reader,
// and starts an exchange with each target of the round. Every _expiryRounds rounds it also
// removes expired entries.
func (r *Replicator) startRound(ctx context.Context) {
	now := time.Now()
	r.rounds++
	if r.rounds%_expiryRounds == 0 {
		r.gossiper.RemoveExpired(now)
		r.forgetUnreachable()
	}
	r.updateLeaving(now)
	r.designatedReader.Store(r.gossiper.IsDesignatedReader(now))
	targets := r.gossiper.RoundTargets(now)
	if r.gossiper.IsIsolated(now) && r.rounds%_seedRounds == 1 {
		for _, a := range r.options.Seeds {
			targets = append(targets, gossiper.Target{Address: a})
		}
	}
	for _, t := range targets {
		r.exchange(ctx, t, 0)
	}
}

// forgetUnreachable removes the unreachable addresses at which no known process listens.
func (r *Replicator) forgetUnreachable() {
	known := make(map[string]bool)
	for _, a := range r.options.Seeds {
		known[a] = true
	}
	for _, a := range r.gossiper.Table().Addresses() {
		known[a] = true
	}
	maps.DeleteFunc(r.unreachable, func(address string, _ bool) bool { return !known[address] })
}

// updateLeaving records which instances this process found to be leaving, and publishes
// those that any process found.
func (r *Replicator) updateLeaving(now time.Time) {
	if r.options.LeavingInstances != nil {
		for name, boot := range r.options.LeavingInstances() {
			if r.gossiper.MarkLeaving(name, boot, now) {
				r.scheduleNotification()
			}
		}
	}
	all := r.gossiper.LeavingInstances(now)
	r.leaving.Store(&all)
}

// Processes returns the newest record of each known process, with its age; nil if Run has
// ended or ctx ends first.
func (r *Replicator) Processes(ctx context.Context) []*wire.ProcessRecord {
	reply := make(chan []*wire.ProcessRecord, 1)
	if !r.runInLoop(ctx, func() { reply <- r.gossiper.Table().Records(time.Now()) }) {
		return nil
	}
	return <-reply
}

// AddUnverified adds records of processes that the platform lists. These processes count
// as live just long enough to be asked once.
func (r *Replicator) AddUnverified(ctx context.Context, records []*wire.ProcessRecord) {
	r.runInLoop(ctx, func() {
		for _, x := range records {
			r.gossiper.AddUnverified(x, time.Now())
		}
	})
}

// Self returns the process's own record as of its last update; nil if Run has ended or
// ctx ends first.
func (r *Replicator) Self(ctx context.Context) *wire.ProcessRecord {
	reply := make(chan *wire.ProcessRecord, 1)
	if !r.runInLoop(ctx, func() { reply <- r.gossiper.Self() }) {
		return nil
	}
	return <-reply
}
