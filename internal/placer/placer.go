package placer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/former"
	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _round is the time between two rounds.
	_round = 500 * time.Millisecond
	// _probeInterval is how often the holder asks a member of a replica, and
	// _spareInterval how often another instance.
	_probeInterval = 500 * time.Millisecond
	_spareInterval = 2 * time.Second
	// _probeTimeout bounds one probe.
	_probeTimeout = 500 * time.Millisecond
	// _deadAfter is how long an instance may be silent before its replica is
	// repaired.
	_deadAfter = 2 * time.Second
	// _releaseTimeout bounds the release of the lease at a shutdown.
	_releaseTimeout = time.Second
)

// Configuration gives the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// Placements takes each placement that the holder stored, for this process's
// own view and for its peers.
type Placements interface {
	Offer(p *wire.Placement) bool
}

// Prober gathers what instances say of themselves.
type Prober interface {
	SetTargets(targets []prober.Target)
	Evidence(instance string) prober.Evidence
}

// Placer runs rounds. Set the fields before Run; they don't change after.
type Placer struct {
	DataCentre    string
	Process       string
	Configuration Configuration
	Placements    Placements
	Store         Store
	Lease         *leaser.Leaser
	Prober        Prober
	Orderer       Orderer
	Log           logger.Logger

	held atomic.Bool

	// What follows belongs to Run's goroutine.
	former former.Former
	ledger ledger
	orders orders
	// failing says that the last round failed, so that a long outage is logged
	// once.
	failing bool
}

// Run competes for the lease and runs rounds until ctx ends; then it waits for
// the orders under way.
func (p *Placer) Run(ctx context.Context) {
	p.former.DeadAfter = _deadAfter
	p.ledger = ledger{store: p.Store, log: p.Log, dataCentre: p.DataCentre, process: p.Process}
	p.orders = orders{orderer: p.Orderer, lease: p.Lease, log: p.Log}
	var group sync.WaitGroup
	group.Go(func() { p.Lease.Run(ctx) })
	defer func() {
		p.orders.wait()
		group.Wait()
		p.release(ctx)
	}()
	ticker := time.NewTicker(_round)
	defer ticker.Stop()
	for {
		err := p.round(ctx)
		if err != nil && !p.failing && ctx.Err() == nil {
			p.Log.Failure("place-round", err, nil)
		}
		p.failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// release gives the lease up; ctx has ended by then.
func (p *Placer) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _releaseTimeout)
	defer cancel()
	p.Lease.Release(ctx)
}

// HoldsLease returns 1 where the newest round held the lease, else 0.
func (p *Placer) HoldsLease() int64 {
	if p.held.Load() {
		return 1
	}
	return 0
}

// round decides once, where the lease is held.
func (p *Placer) round(ctx context.Context) error {
	p.held.Store(p.Lease.Held(time.Now()))
	if !p.held.Load() {
		p.ledger.forget()
		p.Prober.SetTargets(nil)
		return nil
	}
	if err := p.ledger.refresh(ctx, time.Now()); err != nil {
		return err
	}
	if err := p.ledger.adopt(ctx, p.Lease.Term()); err != nil {
		return err
	}
	p.Prober.SetTargets(p.targets())
	// The orders follow from the same evidence as the decision.
	state := p.state()
	plan := p.former.Decide(state, time.Now())
	err := p.store(ctx, plan)
	if p.ledger.fresh {
		p.orders.give(ctx, p.wanted(state, plan), time.Now())
	}
	return err
}

// store writes a plan's placements. Each domain stands alone, so one that can't
// be written doesn't hold up the others.
func (p *Placer) store(ctx context.Context, plan former.Plan) error {
	var failures []error
	written := make(map[string]bool)
	for domain, x := range plan.Placements {
		if !p.Lease.Held(time.Now()) {
			failures = append(failures, errors.New("placer: the lease lapsed before a write"))
			break
		}
		if err := p.ledger.write(ctx, x, p.Lease.Term()); err != nil {
			failures = append(failures, fmt.Errorf("placer: write the placement of %s: %w", domain, err))
			continue
		}
		written[domain] = true
		p.Placements.Offer(x)
	}
	for _, a := range plan.Actions {
		if _, changed := plan.Placements[a.Domain]; changed && !written[a.Domain] {
			continue
		}
		p.Log.Event("place", logger.Fields{
			"action": a.Event, "replica": a.Replica, "group": a.Group, "domain": a.Domain, "generation": a.Generation,
			"members": strings.Join(a.Members, ","), "reason": a.Reason, "term": p.Lease.Term(),
		})
	}
	return errors.Join(failures...)
}

// targets are the data centre's instances, the members of replicas more often
// than the others.
func (p *Placer) targets() []prober.Target {
	member := make(map[string]bool)
	for _, s := range p.ledger.placements {
		for _, r := range s.placement.GetReplicas() {
			for _, m := range r.GetMembers() {
				member[m] = true
			}
		}
	}
	out := make([]prober.Target, 0, len(p.ledger.instances))
	for n, i := range p.ledger.instances {
		t := prober.Target{Instance: n, Address: i.Address, Interval: _spareInterval, Timeout: _probeTimeout}
		if member[n] {
			t.Interval = _probeInterval
		}
		out = append(out, t)
	}
	return out
}

// state gathers what the decision depends on.
func (p *Placer) state() former.State {
	s := former.State{
		DataCentre: p.DataCentre, Document: p.Configuration.Current().Document(),
		Placements: make(map[string]*wire.Placement), Instances: make(map[string]former.Instance),
	}
	for d, x := range p.ledger.placements {
		s.Placements[d] = x.placement
	}
	for n, i := range p.ledger.instances {
		if p.ledger.unreadable[i.Domain] {
			continue
		}
		e := p.Prober.Evidence(n)
		t := e.Status()
		s.Instances[n] = former.Instance{
			Name: n, Address: i.Address, Domain: i.Domain, Leaving: i.Leaving || t.Leaving || s.Document.Instances[n].Draining,
			Answered: !e.SentAt().IsZero(), Silence: e.Silence(), Boot: t.Boot,
			Ready: t.State == engineclient.StateReady, Failed: t.State == engineclient.StateFailed,
			Replica: t.Replica, Generation: t.Generation, InFlight: int(t.InFlight + t.Queued),
			LoadTime: time.Duration(t.LoadSeconds * float64(time.Second)),
		}
	}
	return s
}

// wanted returns the order of each instance that answers and whose word differs
// from its placement.
func (p *Placer) wanted(s former.State, plan former.Plan) []errand {
	orders := make(map[string]engineclient.Order)
	kept := make(map[string]bool)
	for _, x := range p.ledger.placements {
		for _, r := range x.placement.GetReplicas() {
			settled := plan.Broken[r.GetName()] || r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING
			for _, m := range r.GetMembers() {
				kept[m] = kept[m] || settled
				orders[m] = engineclient.Order{
					Replica: r.GetName(), Generation: r.GetGeneration(), Model: r.GetModel(), Version: r.GetVersion(),
					Members: r.GetMembers(), Addresses: r.GetAddresses(), Slots: r.GetSlots(),
				}
			}
		}
	}
	var out []errand
	for n, i := range s.Instances {
		o, placed := orders[n]
		if !placed {
			o = engineclient.Order{Generation: p.ledger.placements[i.Domain].placement.GetGeneration()}
		}
		same := o.Replica == i.Replica && (o.Generation == i.Generation || !placed)
		if same || kept[n] || !i.Answered || i.Silence > 0 {
			continue
		}
		out = append(out, errand{instance: p.ledger.instances[n], order: o})
	}
	return out
}
