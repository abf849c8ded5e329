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
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
	"github.com/lycheebarrow/lycheebarrow/internal/server"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/transporter"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// schedules decide when this process reads the platform itself.
type schedules struct {
	configuration reader.Schedule
	placements    reader.Schedule
}

// newSchedules returns the schedules of a process. They share one log of outages.
func newSchedules(k *kernel) *schedules {
	outage := &reader.OutageLogger{Log: k.log}
	seed := xxhash.Sum64String(k.settings.Name())
	return &schedules{
		configuration: reader.Schedule{Outage: outage, Seed: seed},
		placements:    reader.Schedule{Outage: outage, Seed: seed + 1},
	}
}

// buildPeers builds the replicator, which exchanges state with the other processes. It
// must be built after the services whose state is exchanged.
func buildPeers(k *kernel) error {
	c, t, p, err := findViews(k)
	if err != nil {
		return err
	}
	sched, err := registrar.Find[*schedules](&k.services, NameSchedules)
	if err != nil {
		return err
	}
	packets, err := k.network.ListenPacket(k.settings.PeerListen())
	if err != nil {
		return fmt.Errorf("composer: listen for peers at %s: %w; choose a free port with -peer-listen", k.settings.PeerListen(), err)
	}
	transport, err := transporter.Listen[wire.Digest](packets, k.settings.PeerSecret())
	if err != nil {
		return err
	}
	k.log.Event("listen", logger.Fields{"service": "peers", "address": transport.Address()})
	r := replicator.New(replicator.Options{
		Self: newProcessRecord(k, transport.Address()), Exchanger: transport, Configuration: c, Placements: t,
		ConfigurationSchedule: &sched.configuration, PlacementsSchedule: &sched.placements,
		Draining: drainingFunc(k), LeavingInstances: func() map[string]string { return departures(t, p) },
		Seeds: k.settings.PeerSeeds(), Log: k.log, Seed: xxhash.Sum64String(k.settings.Name()),
	})
	sched.configuration.Designated = r.IsDesignatedReader
	// Peers exchange placements, so no process reads them from the platform before a read
	// is due.
	sched.placements.Designated = func() bool { return false }
	k.lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { transport.Serve(r); return nil },
		OnStop:  func(context.Context) error { return transport.Close() },
	})
	k.run(r.Run)
	if err := buildAnnouncer(k, r); err != nil {
		return err
	}
	return k.services.Register(NameReplicator, r)
}

// buildAnnouncer builds the announcer, which registers this process in the platform's
// store.
func buildAnnouncer(k *kernel, r *replicator.Replicator) error {
	store, err := registrar.Find[*storer.Client](&k.services, NameStore)
	if err != nil {
		return err
	}
	a := announcer.New(store, r, xxhash.Sum64String(k.settings.Name()), k.log)
	k.run(a.Run)
	return nil
}

// newProcessRecord returns the record of this process. Addresses in the settings take
// precedence over those listened on.
func newProcessRecord(k *kernel, peerAddress string) *wire.ProcessRecord {
	s := k.settings
	if s.PeerAddress() != "" {
		peerAddress = s.PeerAddress()
	}
	operatorAddress := k.operatorListener.Addr().String()
	if s.OperatorAddress() != "" {
		operatorAddress = s.OperatorAddress()
	}
	return &wire.ProcessRecord{
		Name: s.Name(), Role: string(s.Role()), DataCentre: s.DataCentre(), PeerAddress: peerAddress,
		OperatorAddress: operatorAddress, StartedUnixMs: time.Now().UnixMilli(),
	}
}

// drainingFunc returns a function that reports whether an entry refuses new work. It
// returns nil for other roles.
func drainingFunc(k *kernel) func() bool {
	if k.settings.Role() != loader.RoleEntry {
		return nil
	}
	return func() bool {
		s, err := registrar.Find[*server.Server](&k.services, NameServer)
		return err == nil && s.Draining()
	}
}

// departures returns the boots, by instance name, of the instances that this process
// itself has found to be leaving. The boot is empty for an instance that only the
// platform's list reports, since the list contains no boots.
func departures(t *placementtracker.Tracker, p interface{ Departures() map[string]string }) map[string]string {
	out := p.Departures()
	for name, i := range t.View().Instances() {
		if _, ok := out[name]; i.Leaving && !ok {
			out[name] = ""
		}
	}
	return out
}
