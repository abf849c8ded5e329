package composer

import (
	"context"
	"io"

	"github.com/cespare/xxhash/v2"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/dispatcher"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
	"github.com/lycheebarrow/lycheebarrow/internal/server"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
	"github.com/lycheebarrow/lycheebarrow/internal/servicepoller"
	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
)

// NewEntry returns the application of an entry. It writes log lines to output.
func NewEntry(s loader.Settings, network networker.Network, output io.Writer) *fx.App {
	return compose(s, network, output, buildMeter, buildCommon, buildProber, buildPeers, buildDispatcher, buildRecorder, buildServicePoller, buildServer, buildOperator, buildReadiness)
}

// buildDispatcher builds the dispatcher, and the loop that counts the entries for it.
func buildDispatcher(k *kernel) error {
	c, t, p, err := findViews(k)
	if err != nil {
		return err
	}
	m, err := registrar.Find[*meter.Meter](&k.services, NameMeter)
	if err != nil {
		return err
	}
	r, err := registrar.Find[*replicator.Replicator](&k.services, NameReplicator)
	if err != nil {
		return err
	}
	d := dispatcher.New(k.settings.DataCentre(), c, t, &evidence{Prober: p, departures: r}, k.log)
	d.Meter = m
	if err := m.RegisterGauge("queue_length", "Requests that wait for a slot in a replica.", d.Waiting); err != nil {
		return err
	}
	if err := m.RegisterGauge("in_flight", "Requests that hold a slot in a replica.", d.InFlight); err != nil {
		return err
	}
	d.Salt = xxhash.Sum64String(k.settings.Name())
	k.run(d.Run)
	k.run(func(ctx context.Context) { countEntries(ctx, k.settings.Name(), r, d) })
	return k.services.Register(NameDispatcher, d)
}

// buildServer builds the server for callers.
func buildServer(k *kernel) error {
	c, _, p, err := findViews(k)
	if err != nil {
		return err
	}
	d, err := registrar.Find[*dispatcher.Dispatcher](&k.services, NameDispatcher)
	if err != nil {
		return err
	}
	r, err := registrar.Find[*recorder.Recorder](&k.services, NameRecorder)
	if err != nil {
		return err
	}
	m, err := registrar.Find[*meter.Meter](&k.services, NameMeter)
	if err != nil {
		return err
	}
	v, err := registrar.Find[*servicepoller.Poller](&k.services, NameServicePoller)
	if err != nil {
		return err
	}
	s := &server.Server{
		Configuration: c, Dispatcher: d, Streamer: streamer.New(k.network, p), ServiceClient: serviceclient.New(k.network),
		Recorder: r, ServicePoller: v, Log: k.log, Meter: m, Process: k.settings.Name(),
		DataCentre: k.settings.DataCentre(), MaxBodyBytes: k.settings.MaxBodyBytes(),
		ReadLimit: k.settings.CallersReadLimit(), WriteLimit: k.settings.CallersWriteLimit(),
	}
	l, err := k.listen("callers", k.settings.CallersListen())
	if err != nil {
		return err
	}
	k.serve("callers", l, s.Handler(), shutdownHooks{begin: s.Drain, settle: s.Settle})
	return k.services.Register(NameServer, s)
}

// findViews returns the services whose state most other services read.
func findViews(k *kernel) (*configurer.Configurer, *placementtracker.Tracker, *prober.Prober, error) {
	c, err := registrar.Find[*configurer.Configurer](&k.services, NameConfigurer)
	if err != nil {
		return nil, nil, nil, err
	}
	t, err := registrar.Find[*placementtracker.Tracker](&k.services, NamePlacementTracker)
	if err != nil {
		return nil, nil, nil, err
	}
	p, err := registrar.Find[*prober.Prober](&k.services, NameProber)
	return c, t, p, err
}
