package composer

import (
	"context"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/operator"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// buildCommon builds the services that entries and placers have in common.
func buildCommon(k *kernel) error {
	m, err := registrar.Find[*meter.Meter](&k.services, NameMeter)
	if err != nil {
		return err
	}
	store := storer.New(k.settings.Platform(), k.network)
	store.Meter = m
	if err := k.services.Register(NameStore, store); err != nil {
		return err
	}
	sched := newSchedules(k)
	if err := k.services.Register(NameSchedules, sched); err != nil {
		return err
	}
	c := configurer.New(store, &sched.configuration, k.log)
	k.run(c.Run)
	if err := k.services.Register(NameConfigurer, c); err != nil {
		return err
	}
	t := placementtracker.New(store, &sched.placements, k.log)
	if k.settings.Role() == loader.RoleEntry {
		k.run(t.Run)
	}
	if err := k.services.Register(NamePlacementTracker, t); err != nil {
		return err
	}
	// The listener must be open before the services that send its address to peers are
	// built.
	k.operatorListener, err = k.listen("operator", k.settings.OperatorListen())
	return err
}

// buildProber builds the prober. In an entry, its targets are the members of all
// replicas; a placer sets the targets itself.
func buildProber(k *kernel) error {
	m, err := registrar.Find[*meter.Meter](&k.services, NameMeter)
	if err != nil {
		return err
	}
	client := engineclient.New(k.network)
	p := prober.New(client, k.log)
	p.Meter = m
	k.lifecycle.Append(fx.StopHook(p.Close))
	if err := k.services.Register(NameProber, p); err != nil {
		return err
	}
	if k.settings.Role() != loader.RoleEntry {
		return nil
	}
	c, t, _, err := findViews(k)
	if err != nil {
		return err
	}
	k.run(func(ctx context.Context) { updateTargets(ctx, k, c, t, p) })
	return nil
}

// updateTargets sets the prober's targets to the members of all placed replicas, now and
// after each change of the configuration or the placements, until ctx ends.
func updateTargets(ctx context.Context, k *kernel, c *configurer.Configurer, t *placementtracker.Tracker, p *prober.Prober) {
	for ctx.Err() == nil {
		configured, placed := c.Changed(), t.Changed()
		p.SetTargets(probeTargets(t.View(), k.settings.DataCentre(), c.Current().Document().Policy))
		select {
		case <-configured:
		case <-placed:
		case <-ctx.Done():
		}
	}
}

// probeTargets returns the members of all replicas. Members in other data centres are
// probed just often enough that requests may be dispatched to them, and as often as local
// ones while they run requests of this entry.
func probeTargets(v placementtracker.View, dataCentre string, policy validator.Policy) []prober.Target {
	const remoteProbes = 2 // probes of a member in another data centre within the evidence limit
	var out []prober.Target
	for _, p := range v.Placements() {
		interval := policy.ProbeInterval()
		if p.GetDataCentre() != dataCentre {
			interval = max(interval, policy.EvidenceLimit()/remoteProbes)
		}
		for _, r := range p.GetReplicas() {
			for i, m := range r.GetMembers() {
				out = append(out, prober.Target{
					Instance: m, Address: r.GetAddresses()[i], Interval: interval, ActiveInterval: policy.ProbeInterval(),
				})
			}
		}
	}
	return out
}

// buildOperator builds the operators' API and its server.
func buildOperator(k *kernel) error {
	c, t, p, err := findViews(k)
	if err != nil {
		return err
	}
	r, err := registrar.Find[*replicator.Replicator](&k.services, NameReplicator)
	if err != nil {
		return err
	}
	a := &operator.API{Configuration: c, Placements: t, Evidence: p, Decisions: k.journal, Tokens: k.settings.OperatorTokens(), Log: k.log}
	a.Self = func() *wire.ProcessRecord {
		self := r.Self(k.ctx)
		if self == nil {
			self = &wire.ProcessRecord{Name: k.settings.Name(), Role: string(k.settings.Role()), DataCentre: k.settings.DataCentre()}
		}
		self.ConfigurationNumber = c.Current().Number()
		return self
	}
	a.Processes = r.Processes
	k.serve("operator", k.operatorListener, a.Handler(), shutdownHooks{})
	return k.services.Register(NameOperator, a)
}
