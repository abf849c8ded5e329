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
	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/planner"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _roundInterval is the time between two rounds.
	_roundInterval = 500 * time.Millisecond
	// _probeInterval is the time between two probes of a member of a replica,
	// and _spareInterval the time between two probes of any other instance.
	_probeInterval = 500 * time.Millisecond
	_spareInterval = 2 * time.Second
	// _probeTimeout bounds one probe.
	_probeTimeout = 500 * time.Millisecond
	// _deadAfter is how long the probes of an instance may fail before its
	// replica is repaired.
	_deadAfter = 2 * time.Second
	// _releaseTimeout bounds the release of the lease at shutdown.
	_releaseTimeout = time.Second
)

// Configuration returns the configuration in force.
type Configuration interface {
	Current() configurer.Snapshot
}

// Placements receives each placement that the holder stored. It updates this
// process's own view and passes the placement on to its peers.
type Placements interface {
	ApplyPlacement(p *wire.Placement) bool
}

// Prober probes instances and keeps the newest result of each.
type Prober interface {
	SetTargets(targets []prober.Target)
	Evidence(instance string) prober.Evidence
}

// Placer runs the rounds of one process. Set the exported fields before Run and
// do not change them afterwards.
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

	holdsLease atomic.Bool

	// The following fields are used only by the goroutine of Run.
	planner     planner.Planner
	cache       platformCache
	orderSender orderSender
	// failing reports whether the last round failed, so that an outage is logged
	// only once.
	failing bool
}

// Run competes for the lease and runs rounds until ctx ends. Then it waits for
// the orders in flight and releases the lease.
func (p *Placer) Run(ctx context.Context) {
	p.planner.DeadAfter = _deadAfter
	p.cache = platformCache{store: p.Store, log: p.Log, dataCentre: p.DataCentre, process: p.Process}
	p.orderSender = orderSender{orderer: p.Orderer, lease: p.Lease, log: p.Log}
	var group sync.WaitGroup
	group.Go(func() { p.Lease.Run(ctx) })
	defer func() {
		p.orderSender.wait()
		group.Wait()
		p.release(ctx)
	}()
	ticker := time.NewTicker(_roundInterval)
	defer ticker.Stop()
	for {
		err := p.runRound(ctx)
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

// release gives up the lease. It uses a context of its own, since ctx has ended.
func (p *Placer) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _releaseTimeout)
	defer cancel()
	p.Lease.Release(ctx)
}

// HoldsLease returns 1 if this process held the lease in its newest round, else
// 0.
func (p *Placer) HoldsLease() int64 {
	if p.holdsLease.Load() {
		return 1
	}
	return 0
}

// runRound makes one decision and carries it out, if this process holds the
// lease.
func (p *Placer) runRound(ctx context.Context) error {
	p.holdsLease.Store(p.Lease.Held(time.Now()))
	if !p.holdsLease.Load() {
		p.cache.invalidate()
		p.Prober.SetTargets(nil)
		return nil
	}
	if err := p.cache.refresh(ctx, time.Now()); err != nil {
		return err
	}
	if err := p.cache.adopt(ctx, p.Lease.Term()); err != nil {
		return err
	}
	p.Prober.SetTargets(p.probeTargets())
	// The orders below are derived from the same probe results as the decision.
	state := p.gatherState()
	plan := p.planner.Decide(state, time.Now())
	err := p.storePlan(ctx, plan)
	if p.cache.fresh {
		p.orderSender.sendDue(ctx, p.neededOrders(state, plan), time.Now())
	}
	return err
}

// storePlan writes a plan's placements and logs its actions. Domains are
// independent, so the failure to write one doesn't stop the others. Actions of a
// domain whose write failed are not logged.
func (p *Placer) storePlan(ctx context.Context, plan planner.Plan) error {
	var failures []error
	written := make(map[string]bool)
	for domain, x := range plan.Placements {
		if !p.Lease.Held(time.Now()) {
			failures = append(failures, errors.New("placer: the lease expired before all placements were written"))
			break
		}
		if err := p.cache.write(ctx, x, p.Lease.Term()); err != nil {
			failures = append(failures, fmt.Errorf("placer: write the placement of %s: %w", domain, err))
			continue
		}
		written[domain] = true
		p.Placements.ApplyPlacement(x)
	}
	for _, a := range plan.Actions {
		if _, changed := plan.Placements[a.Domain]; changed && !written[a.Domain] {
			continue
		}
		p.Log.Event("place", logger.Fields{
			"action": a.Kind, "replica": a.Replica, "group": a.Group, "domain": a.Domain, "generation": a.Generation,
			"members": strings.Join(a.Members, ","), "reason": a.Reason, "term": p.Lease.Term(),
		})
	}
	return errors.Join(failures...)
}

// probeTargets returns the data centre's instances as probe targets. Members of
// replicas are probed more often than other instances.
func (p *Placer) probeTargets() []prober.Target {
	member := make(map[string]bool)
	for _, s := range p.cache.placements {
		for _, r := range s.placement.GetReplicas() {
			for _, m := range r.GetMembers() {
				member[m] = true
			}
		}
	}
	out := make([]prober.Target, 0, len(p.cache.instances))
	for n, i := range p.cache.instances {
		t := prober.Target{Instance: n, Address: i.Address, Interval: _spareInterval, Timeout: _probeTimeout}
		if member[n] {
			t.Interval = _probeInterval
		}
		out = append(out, t)
	}
	return out
}

// gatherState returns the input of a decision. It leaves out the instances of
// domains whose stored placement can't be decoded.
func (p *Placer) gatherState() planner.State {
	s := planner.State{
		DataCentre: p.DataCentre, Document: p.Configuration.Current().Document(),
		Placements: make(map[string]*wire.Placement), Instances: make(map[string]planner.Instance),
	}
	for d, x := range p.cache.placements {
		s.Placements[d] = x.placement
	}
	for n, i := range p.cache.instances {
		if p.cache.unreadable[i.Domain] {
			continue
		}
		e := p.Prober.Evidence(n)
		t := e.Status()
		s.Instances[n] = planner.Instance{
			Name: n, Address: i.Address, Domain: i.Domain, Leaving: i.Leaving || t.Leaving || s.Document.Instances[n].Draining,
			Answered: !e.SentAt().IsZero(), Silence: e.Silence(), Boot: t.Boot,
			Ready: t.State == engineclient.StateReady, Failed: t.State == engineclient.StateFailed,
			Replica: t.Replica, Generation: t.Generation, InFlight: int(t.InFlight + t.Queued),
			LoadTime: time.Duration(t.LoadSeconds * float64(time.Second)),
		}
	}
	return s
}

// neededOrders returns an order for each instance that answers probes and
// reports another order than its placement asks for. An instance that no placement
// names gets an order without a replica. Members of broken or draining replicas
// get no order.
func (p *Placer) neededOrders(s planner.State, plan planner.Plan) []instanceOrder {
	orders := make(map[string]engineclient.Order)
	withheld := make(map[string]bool)
	for _, x := range p.cache.placements {
		for _, r := range x.placement.GetReplicas() {
			withhold := plan.Broken[r.GetName()] || r.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING
			for _, m := range r.GetMembers() {
				withheld[m] = withheld[m] || withhold
				orders[m] = engineclient.Order{
					Replica: r.GetName(), Generation: r.GetGeneration(), Model: r.GetModel(), Version: r.GetVersion(),
					Members: r.GetMembers(), Addresses: r.GetAddresses(), Slots: r.GetSlots(),
				}
			}
		}
	}
	var out []instanceOrder
	for n, i := range s.Instances {
		o, placed := orders[n]
		if !placed {
			o = engineclient.Order{Generation: p.cache.placements[i.Domain].placement.GetGeneration()}
		}
		same := o.Replica == i.Replica && (o.Generation == i.Generation || !placed)
		if same || withheld[n] || !i.Answered || i.Silence > 0 {
			continue
		}
		out = append(out, instanceOrder{instance: p.cache.instances[n], order: o})
	}
	return out
}
