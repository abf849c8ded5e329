package composer

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/announcer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
	"github.com/lycheebarrow/lycheebarrow/internal/server"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/transporter"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// turns are when this process reads the platform itself.
type turns struct {
	configuration reader.Schedule
	placements    reader.Schedule
}

// newTurns returns the turns of a process, both with one log of outages.
func newTurns(k *kernel) *turns {
	outage := &reader.OutageLogger{Log: k.log}
	seed := xxhash.Sum64String(k.settings.Name())
	return &turns{
		configuration: reader.Schedule{Outage: outage, Seed: seed},
		placements:    reader.Schedule{Outage: outage, Seed: seed + 1},
	}
}

// buildPeers builds the exchange with the other processes. It goes after the
// services whose state is exchanged.
func buildPeers(k *kernel) error {
	c, w, p, err := views(k)
	if err != nil {
		return err
	}
	t, err := registrar.Find[*turns](&k.services, NameTurns)
	if err != nil {
		return err
	}
	packets, err := k.network.ListenPacket(k.settings.PeerListen())
	if err != nil {
		return fmt.Errorf("composer: listen for peers at %s: %w; choose a free port with -peer-listen", k.settings.PeerListen(), err)
	}
	carrier, err := transporter.Listen[wire.Digest](packets, k.settings.PeerSecret())
	if err != nil {
		return err
	}
	k.log.Event("listen", logger.Fields{"service": "peers", "address": carrier.Address()})
	r := replicator.New(replicator.Options{
		Self: describe(k, carrier.Address()), Exchanger: carrier, Configuration: c, Placements: w,
		ConfigurationSchedule: &t.configuration, PlacementsSchedule: &t.placements,
		Draining: draining(k), LeavingInstances: func() map[string]string { return departures(w, p) },
		Seeds: k.settings.PeerSeeds(), Log: k.log, Seed: xxhash.Sum64String(k.settings.Name()),
	})
	t.configuration.Designated = r.IsDesignatedReader
	t.placements.Designated = func() bool { return false }
	k.life.Append(fx.Hook{
		OnStart: func(context.Context) error { carrier.Serve(r); return nil },
		OnStop:  func(context.Context) error { return carrier.Close() },
	})
	k.run(r.Run)
	if err := buildAnnouncer(k, r); err != nil {
		return err
	}
	return k.services.Register(NameReplicator, r)
}

func buildAnnouncer(k *kernel, r *replicator.Replicator) error {
	store, err := registrar.Find[*storer.Client](&k.services, NameStore)
	if err != nil {
		return err
	}
	a := announcer.New(store, r, xxhash.Sum64String(k.settings.Name()), k.log)
	k.run(a.Run)
	return nil
}

// describe returns the process's own record.
func describe(k *kernel, peerAddress string) *wire.ProcessRecord {
	s := k.settings
	if s.PeerAddress() != "" {
		peerAddress = s.PeerAddress()
	}
	operatorAddress := k.operators.Addr().String()
	if s.OperatorAddress() != "" {
		operatorAddress = s.OperatorAddress()
	}
	return &wire.ProcessRecord{
		Name: s.Name(), Role: string(s.Role()), DataCentre: s.DataCentre(), PeerAddress: peerAddress,
		OperatorAddress: operatorAddress, StartedUnixMs: time.Now().UnixMilli(),
	}
}

// draining returns what says that an entry refuses new work.
func draining(k *kernel) func() bool {
	if k.settings.Role() != loader.RoleEntry {
		return nil
	}
	return func() bool {
		s, err := registrar.Find[*server.Server](&k.services, NameServer)
		return err == nil && s.Draining()
	}
}

// departures returns the boots of the instances that this process itself found
// to leave. The platform's list names no boot.
func departures(w *watcher.Watcher, p interface{ Departures() map[string]string }) map[string]string {
	out := p.Departures()
	for name, i := range w.View().Instances() {
		if _, ok := out[name]; i.Leaving && !ok {
			out[name] = ""
		}
	}
	return out
}
