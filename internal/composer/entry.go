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
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/replicator"
	"github.com/lycheebarrow/lycheebarrow/internal/server"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
	"github.com/lycheebarrow/lycheebarrow/internal/surveyor"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
)

// Entry returns the application of an entry. Log lines go to output.
func Entry(s loader.Settings, network networker.Network, output io.Writer) *fx.App {
	return compose(s, network, output, buildMeter, buildShared, buildProber, buildPeers, buildDispatcher, buildRecorder, buildSurveyor, buildServer, buildOperator, buildReadiness)
}

func buildDispatcher(k *kernel) error {
	c, w, p, err := views(k)
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
	d := dispatcher.New(k.settings.DataCentre(), c, w, &evidence{Prober: p, departures: r}, k.log)
	d.Meter = m
	if err := m.Gauge("queue_length", "Requests that wait for a place in a replica.", d.Waiting); err != nil {
		return err
	}
	if err := m.Gauge("in_flight", "Requests that hold a place in a replica.", d.InFlight); err != nil {
		return err
	}
	d.Salt = xxhash.Sum64String(k.settings.Name())
	k.run(d.Run)
	k.run(func(ctx context.Context) { countEntries(ctx, k.settings.Name(), r, d) })
	return k.services.Register(NameDispatcher, d)
}

func buildServer(k *kernel) error {
	c, _, p, err := views(k)
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
	v, err := registrar.Find[*surveyor.Surveyor](&k.services, NameSurveyor)
	if err != nil {
		return err
	}
	s := &server.Server{
		Configuration: c, Dispatcher: d, Streamer: streamer.New(k.network, p), ServiceClient: serviceclient.New(k.network),
		Recorder: r, Surveyor: v, Log: k.log, Meter: m, Process: k.settings.Name(),
		DataCentre: k.settings.DataCentre(), MaxBodyBytes: k.settings.MaxBodyBytes(),
		ReadLimit: k.settings.CallersReadLimit(), WriteLimit: k.settings.CallersWriteLimit(),
	}
	l, err := k.listen("callers", k.settings.CallersListen())
	if err != nil {
		return err
	}
	k.serve("callers", l, s.Handler(), s.Drain)
	return k.services.Register(NameServer, s)
}

// views finds the services that most others read.
func views(k *kernel) (*configurer.Configurer, *watcher.Watcher, *prober.Prober, error) {
	c, err := registrar.Find[*configurer.Configurer](&k.services, NameConfigurer)
	if err != nil {
		return nil, nil, nil, err
	}
	w, err := registrar.Find[*watcher.Watcher](&k.services, NameWatcher)
	if err != nil {
		return nil, nil, nil, err
	}
	p, err := registrar.Find[*prober.Prober](&k.services, NameProber)
	return c, w, p, err
}
