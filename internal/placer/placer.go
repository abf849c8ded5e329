package placer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/former"
	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/messenger"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _round is the time between two rounds.
	_round = 500 * time.Millisecond
	// _probeInterval is how often the holder asks each instance.
	_probeInterval = 500 * time.Millisecond
	// _deadAfter is how long an instance may be silent before its replica is
	// repaired.
	_deadAfter = 2 * time.Second
	// _orderTimeout bounds one order.
	_orderTimeout = 2 * time.Second
)

// Configuration gives the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// Placements gives the view of placements and instances.
type Placements interface {
	View() watcher.View
	Poll(ctx context.Context) error
}

// Store writes placements.
type Store interface {
	Create(ctx context.Context, key string, value []byte) (uint64, error)
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
}

// Orderer gives orders to engines.
type Orderer interface {
	Order(ctx context.Context, address string, o messenger.Order) (messenger.Status, error)
}

// Placer runs rounds. Set the fields before Run; they don't change after.
type Placer struct {
	DataCentre    string
	Process       string
	Configuration Configuration
	Placements    Placements
	Store         Store
	Lease         *leaser.Leaser
	Prober        *prober.Prober
	Orderer       Orderer
	Log           logger.Logger

	held  atomic.Bool
	first time.Time
	// misplaced is since when an instance's status has differed from its
	// placement, so that an order is repeated but not in every round.
	ordered map[string]time.Time
}

// Run runs rounds until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	p.first = time.Now()
	p.ordered = make(map[string]time.Time)
	ticker := time.NewTicker(_round)
	defer ticker.Stop()
	for {
		if err := p.round(ctx); err != nil && ctx.Err() == nil {
			p.Log.Failure("place-round", err, nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Holds returns 1 where the newest round held the lease, else 0.
func (p *Placer) Holds() int64 {
	if p.held.Load() {
		return 1
	}
	return 0
}

func (p *Placer) round(ctx context.Context) error {
	err := p.Lease.Step(ctx)
	p.held.Store(p.Lease.Held(time.Now()))
	if !p.held.Load() {
		p.Prober.SetTargets(nil)
		return err
	}
	if err := p.Placements.Poll(ctx); err != nil {
		return fmt.Errorf("placer: poll: %w", err)
	}
	p.Prober.SetTargets(p.targets())
	// The first probes need their time before silence means anything.
	if p.Lease.HeldFor(time.Now()) < _deadAfter {
		return nil
	}
	state := p.state()
	plan := former.Former{DeadAfter: _deadAfter}.Decide(state, time.Now())
	for domain, x := range plan.Placements {
		if err := p.write(ctx, x); err != nil {
			return fmt.Errorf("placer: write the placement of %s: %w", domain, err)
		}
		state.Placements[domain] = x
	}
	for _, a := range plan.Actions {
		p.Log.Event("place", logger.Fields{
			"action": a.Event, "replica": a.Replica, "group": a.Group, "domain": a.Domain, "generation": a.Generation,
			"members": strings.Join(a.Members, ","), "reason": a.Reason, "term": p.Lease.Term(),
		})
	}
	p.order(ctx, state)
	return nil
}

func (p *Placer) targets() []prober.Target {
	var out []prober.Target
	for _, i := range p.Placements.View().Instances() {
		if i.DataCentre == p.DataCentre && i.Kind == "engine" {
			out = append(out, prober.Target{Instance: i.Name, Address: i.Address, Interval: _probeInterval})
		}
	}
	return out
}

// state gathers what the decision depends on.
func (p *Placer) state() former.State {
	view := p.Placements.View()
	s := former.State{
		DataCentre: p.DataCentre, Document: p.Configuration.Current().Document(),
		Placements: make(map[string]*wire.Placement), Instances: make(map[string]former.Instance),
	}
	for _, x := range view.Placements() {
		if x.GetDataCentre() == p.DataCentre {
			s.Placements[x.GetDomain()] = x
		}
	}
	for n, i := range view.Instances() {
		if i.DataCentre != p.DataCentre || i.Kind != "engine" {
			continue
		}
		e := p.Prober.Evidence(n)
		t := e.Status()
		s.Instances[n] = former.Instance{
			Name: n, Address: i.Address, Domain: i.Domain, Alive: !e.Failed(), Leaving: i.Leaving || t.Leaving || s.Document.Instances[n].Draining,
			LastSeen: e.Sent(), Ready: t.State == messenger.StateReady, Failed: t.State == messenger.StateFailed,
			Replica: t.Replica, Generation: t.Generation, InFlight: int(t.InFlight + t.Queued),
		}
	}
	return s
}

// write stores a placement under the condition that nobody changed it. The
// lease is checked right before.
func (p *Placer) write(ctx context.Context, x *wire.Placement) error {
	key := watcher.KeyOf(x)
	version := p.Placements.View().Version(key)
	x.Revision++
	x.Term = p.Lease.Term()
	x.Writer = fmt.Sprintf("%s/%d/%d", p.Process, x.GetTerm(), x.GetRevision())
	value, err := protojson.Marshal(x)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if !p.Lease.Held(time.Now()) {
		return errors.New("the lease lapsed before the write")
	}
	if version == 0 {
		_, err = p.Store.Create(ctx, key, value)
	} else {
		_, err = p.Store.Update(ctx, key, version, value)
	}
	// After any error the next round reads what is stored and decides anew; a
	// write whose answer was lost is found there.
	return err
}

// order tells each instance whose word differs from its placement what to be.
func (p *Placer) order(ctx context.Context, s former.State) {
	wanted := make(map[string]messenger.Order)
	for _, x := range s.Placements {
		for _, r := range x.GetReplicas() {
			for _, m := range r.GetMembers() {
				wanted[m] = messenger.Order{
					Replica: r.GetName(), Generation: r.GetGeneration(), Model: r.GetModel(), Version: r.GetVersion(),
					Members: r.GetMembers(), Addresses: r.GetAddresses(), Slots: r.GetSlots(),
				}
			}
		}
	}
	var group sync.WaitGroup
	now := time.Now()
	for n, i := range s.Instances {
		o, ok := wanted[n]
		if !ok {
			o = messenger.Order{Generation: s.Placements[i.Domain].GetGeneration()}
		}
		if o.Replica == i.Replica && (o.Generation == i.Generation || o.Replica == "") || now.Sub(p.ordered[n]) < _orderTimeout {
			continue
		}
		if !p.mayOrder(n) {
			continue
		}
		p.ordered[n] = now
		group.Go(func() { p.send(ctx, i, o) })
	}
	group.Wait()
}

// mayOrder says that no order of an earlier holder can still arrive, or that
// the engine would refuse it.
func (p *Placer) mayOrder(instance string) bool {
	if p.Placements.View().Instances()[instance].ChecksFencing {
		return true
	}
	return p.Lease.HeldFor(time.Now()) > leaser.Duration+_orderTimeout
}

func (p *Placer) send(ctx context.Context, i former.Instance, o messenger.Order) {
	if !p.Lease.Held(time.Now()) {
		return
	}
	call, cancel := context.WithTimeout(ctx, _orderTimeout)
	defer cancel()
	_, err := p.Orderer.Order(call, i.Address, o)
	p.Log.Event("order", logger.Fields{
		"instance": i.Name, "replica": o.Replica, "generation": o.Generation, "model": o.Model, "version": o.Version,
		"error": err, "term": p.Lease.Term(),
	})
}
