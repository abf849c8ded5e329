package replicator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/gossiper"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _roundInterval is the time between two rounds, less a random part of
	// _roundJitter.
	_roundInterval = 1100 * time.Millisecond
	_roundJitter   = 200 * time.Millisecond
	// _newsPause is the least time between two rounds of news.
	_newsPause = 50 * time.Millisecond
	// _exchangeTimeout bounds one exchange.
	_exchangeTimeout = time.Second
	// _seedEvery is the number of rounds between two tries of the seeds.
	_seedEvery = 3
	// _tidyEvery is the number of rounds between two cleanings of the tables.
	_tidyEvery = 10
	// _maxFollowUps bounds the exchanges that follow one another at once with
	// one peer.
	_maxFollowUps = 4
)

// Exchanger sends a digest to the peer at an address and returns its answer.
type Exchanger interface {
	Exchange(ctx context.Context, address string, d *wire.Digest) (*wire.Digest, error)
}

// Configuration keeps the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
	Changed() <-chan struct{}
	ApplyRecord(record *wire.ConfigurationRecord, source string) bool
	ApplyChanges(changes []*wire.ConfigurationChange, source string) bool
}

// Placements keeps the view of placements.
type Placements interface {
	View() watcher.View
	Changed() <-chan struct{}
	Offer(p *wire.Placement) bool
}

// Options are what a Replicator works with.
type Options struct {
	// Self describes the process: name, role, data centre, addresses and start.
	Self          *wire.ProcessRecord
	Exchanger     Exchanger
	Configuration Configuration
	Placements    Placements
	// ConfigurationTurn and PlacementsTurn hear how fresh the peers' knowledge
	// is; their Duty should be the Replicator's Reads.
	ConfigurationTurn *reader.Schedule
	PlacementsTurn    *reader.Schedule
	// Draining says that the process refuses new work; nil means never.
	Draining func() bool
	// Leaving returns the boots of the instances that this process itself found
	// to leave, by name; nil means none.
	Leaving func() map[string]string
	// Seeds are addresses to ask while no process of another data centre is live.
	Seeds []string
	Log   logger.Logger
	// Seed chooses the random peers.
	Seed uint64
}

// Replicator exchanges digests with peers. Make it with New, start it with Run.
// It is safe for concurrent use.
type Replicator struct {
	options Options
	reads   atomic.Bool
	leaving atomic.Pointer[map[string]string]

	events chan func()
	done   chan struct{}
	group  sync.WaitGroup

	// What follows belongs to Run's goroutine.
	gossiper *gossiper.Gossiper
	random   *rand.Rand
	rounds   int
	busy     map[string]bool
	again    map[string]bool
	silent   map[string]bool
	news     *time.Timer
	pending  bool
	told     time.Time
}

// New returns a Replicator that has no peers yet and reads the platform itself.
func New(o Options) *Replicator {
	r := &Replicator{
		options: o, events: make(chan func()), done: make(chan struct{}),
		gossiper: gossiper.New(o.Self, o.Seed, time.Now()), random: rand.New(rand.NewPCG(o.Seed, 2)),
		busy: make(map[string]bool), again: make(map[string]bool), silent: make(map[string]bool),
	}
	r.reads.Store(true)
	return r
}

// Reads says that this process is one of its data centre's readers of the
// platform.
func (r *Replicator) Reads() bool { return r.reads.Load() }

// Leaving says that some process found that the instance leaves, and returns
// the boot that does, empty where it is not known.
func (r *Replicator) Leaving(instance string) (boot string, ok bool) {
	all := r.leaving.Load()
	if all == nil {
		return "", false
	}
	boot, ok = (*all)[instance]
	return boot, ok
}

// Run exchanges digests until ctx ends, and then waits for the exchanges under
// way.
func (r *Replicator) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.group.Wait()
	defer close(r.done)
	defer cancel()
	round := time.NewTimer(0)
	defer round.Stop()
	r.news = time.NewTimer(time.Hour)
	defer r.news.Stop()
	for {
		// The channels are taken before the state is read, so that no change
		// falls between the two.
		configured, placed := r.options.Configuration.Changed(), r.options.Placements.Changed()
		if r.gossiper.Update(r.local(), time.Now()) {
			r.announce()
		}
		select {
		case <-ctx.Done():
			return
		case f := <-r.events:
			f()
		case <-configured:
		case <-placed:
		case <-r.news.C:
			r.tellNews(ctx)
		case <-round.C:
			r.round(ctx)
			round.Reset(_roundInterval - time.Duration(r.random.Int64N(int64(_roundJitter))))
		}
	}
}

// tell runs f on the control goroutine.
func (r *Replicator) tell(ctx context.Context, f func()) bool {
	select {
	case r.events <- f:
		return true
	case <-r.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// local gathers the process's own state.
func (r *Replicator) local() gossiper.LocalState {
	o := r.options
	return gossiper.LocalState{
		Configuration: o.Configuration.Current().Record(), Placements: o.Placements.View().Placements(),
		Draining: o.Draining != nil && o.Draining(), ConfigurationRead: o.ConfigurationTurn.LastRead(),
		PlacementsRead: o.PlacementsTurn.LastRead(),
	}
}

// announce plans to tell the neighbours news.
func (r *Replicator) announce() {
	if r.pending {
		return
	}
	r.pending = true
	r.news.Reset(max(0, _newsPause-time.Since(r.told)))
}

func (r *Replicator) tellNews(ctx context.Context) {
	r.pending, r.told = false, time.Now()
	for _, t := range r.gossiper.NotificationTargets(time.Now()) {
		r.exchange(ctx, t, 0)
	}
}

func (r *Replicator) round(ctx context.Context) {
	now := time.Now()
	r.rounds++
	if r.rounds%_tidyEvery == 0 {
		r.gossiper.RemoveExpired(now)
	}
	r.noteLeaving(now)
	r.reads.Store(r.gossiper.IsDesignatedReader(now))
	targets := r.gossiper.RoundTargets(now)
	if r.gossiper.IsIsolated(now) && r.rounds%_seedEvery == 1 {
		for _, a := range r.options.Seeds {
			targets = append(targets, gossiper.Target{Address: a})
		}
	}
	for _, t := range targets {
		r.exchange(ctx, t, 0)
	}
}

// noteLeaving tells peers which instances this process found to leave, and
// publishes those that any process found.
func (r *Replicator) noteLeaving(now time.Time) {
	if r.options.Leaving != nil {
		for name, boot := range r.options.Leaving() {
			if r.gossiper.MarkLeaving(name, boot, now) {
				r.announce()
			}
		}
	}
	all := r.gossiper.LeavingInstances(now)
	r.leaving.Store(&all)
}

// Processes returns the newest word of each known process, with its age.
func (r *Replicator) Processes(ctx context.Context) []*wire.ProcessRecord {
	reply := make(chan []*wire.ProcessRecord, 1)
	if !r.tell(ctx, func() { reply <- r.gossiper.Table().Records(time.Now()) }) {
		return nil
	}
	return <-reply
}

// Learn takes records of processes that the platform lists. They count as live
// just long enough to be asked.
func (r *Replicator) Learn(ctx context.Context, records []*wire.ProcessRecord) {
	r.tell(ctx, func() {
		for _, x := range records {
			r.gossiper.AddUnverified(x, time.Now())
		}
	})
}

// Self returns the process's own record as it was announced last.
func (r *Replicator) Self(ctx context.Context) *wire.ProcessRecord {
	reply := make(chan *wire.ProcessRecord, 1)
	if !r.tell(ctx, func() { reply <- r.gossiper.Self() }) {
		return nil
	}
	return <-reply
}
