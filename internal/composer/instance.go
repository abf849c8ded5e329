package composer

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/follower"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

// Names of the services of an instance.
const (
	NameAdapter    = "adapter"
	NameCatalogue  = "catalogue"
	NameConductor  = "conductor"
	NameEnumerator = "enumerator"
	NameRelayer    = "relayer"
	NameReloader   = "reloader"
	NameSharer     = "sharer"
)

const (
	// _leaseName names the lease of the instance that gives the orders.
	_leaseName = "conductor"
	// _leaseDuration is how long a holder that died keeps others from giving
	// orders. Safety does not depend on it.
	_leaseDuration = 1500 * time.Millisecond
	// _stopMargin is kept free at the end of a graceful shutdown.
	_stopMargin = 500 * time.Millisecond
	// _gatherLeading is the pause in which changes of the list of upstreams gather
	// where groups are decided on.
	_gatherLeading = 60 * time.Millisecond
	// _gatherShared is that pause where the list is read for a data centre.
	_gatherShared = 200 * time.Millisecond
	// _gatherEach is that pause elsewhere, for each process of the system, so that
	// all of them together watch the list at most 25 times a second.
	_gatherEach = 40 * time.Millisecond
	// _keepLapsed is how long an upstream is still used whose entry lapsed while
	// the store was away. Upstreams write theirs again within two seconds.
	_keepLapsed = 1800 * time.Millisecond
	// _memoryPart is the part of an instance's memory at which the garbage
	// collector works harder.
	_memoryPart = 0.6
	// _expectedInstances is the number of processes until they are counted.
	_expectedInstances = 8
	// _sweepEvery is the time between two looks for connections to close.
	_sweepEvery = time.Second
)

// Store is what an instance keeps in the platform.
type Store interface {
	leaser.Store
	enumerator.Store
}

// Adapter connects an instance to a platform.
type Adapter struct {
	Store Store
	// Configurations and Upstreams are read as bytes in the platform's form.
	Configurations      follower.Source[[]byte]
	DecodeConfiguration func(name string, value []byte) (*cataloguer.Configuration, error)
	Upstreams           follower.Source[[]byte]
	DecodeUpstream      func(name string, value []byte) (cataloguer.Upstream, error)
	Orders              conductor.UpstreamClient
	Protocol            relayer.Protocol
	// ReadinessPath is where the platform asks whether the process is ready.
	ReadinessPath string
}

// Adapt makes the adapter.
type Adapt func(s loader.Settings, network networker.Network, m *meter.Meter) Adapter

// Instance returns the application of an instance. Log lines go to output.
func Instance(s loader.Settings, network networker.Network, adapt Adapt, reloader *Reloader, output io.Writer) *fx.App {
	if s.MemoryLimit() > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimit()) * _memoryPart))
	}
	adapted := func(k *kernel) error {
		k.run(func(ctx context.Context) { reloader.run(ctx, k.log) })
		if err := k.services.Register(NameReloader, reloader); err != nil {
			return err
		}
		return buildAdapter(k, adapt)
	}
	return compose(s, network, output, adapted, buildSharer, buildCatalogue, buildRelayer, buildConductor, buildSharing, buildInstanceReadiness)
}

// buildAdapter makes the meter and the adapter, and serves metrics and health.
func buildAdapter(k *kernel, adapt Adapt) error {
	m, err := meter.New()
	if err != nil {
		return err
	}
	a := adapt(k.settings, k.network, m)
	l, err := k.listen("metrics", k.settings.MetricsListen())
	if err != nil {
		return err
	}
	k.health.ReadyPath = a.ReadinessPath
	k.serve("metrics", l, k.health.Handler(m), nil)
	if err := k.services.Register(NameMeter, m); err != nil {
		return err
	}
	return k.services.Register(NameAdapter, a)
}

// buildCatalogue follows the configuration and the list of upstreams.
func buildCatalogue(k *kernel) error {
	f := &finder{kernel: k}
	a := find[Adapter](f, NameAdapter)
	x := find[*sharer.Sharer](f, NameSharer)
	e := find[*enumerator.Enumerator](f, NameEnumerator)
	if f.err != nil {
		return f.err
	}
	c := &cataloguer.Catalogue{}
	configurations := &follower.Follower[*cataloguer.Configuration]{
		Kind: "configuration", Log: k.log,
		Source: follower.DecodingSource[*cataloguer.Configuration]{Source: x.Source("configuration", a.Configurations), Decode: a.DecodeConfiguration},
		Publish: func(revision uint64, values map[string]*cataloguer.Configuration) {
			publish(k.log, c, revision, values)
		},
	}
	upstreams := &follower.Follower[cataloguer.Upstream]{
		Kind: "upstreams", Log: k.log,
		Source:       follower.DecodingSource[cataloguer.Upstream]{Source: x.Source("upstreams", a.Upstreams), Decode: a.DecodeUpstream},
		RemovalGrace: _keepLapsed, OnOutage: c.SetListUnavailable, OnAnswer: c.SetListReadAt,
		BatchDelay: func() time.Duration {
			switch {
			case c.Leading():
				return _gatherLeading
			case x.FollowsGatherer():
				// What the gatherer tells has gathered there.
				return 0
			case x.IsRunning():
				return _gatherShared
			}
			return min(time.Duration(e.Count())*_gatherEach, k.settings.UpstreamDrainGrace()/2)
		},
		Publish: func(revision uint64, values map[string]cataloguer.Upstream) {
			c.SetFleet(cataloguer.NewFleet(revision, values))
		},
	}
	k.run(configurations.Run)
	k.run(upstreams.Run)
	return k.services.Register(NameCatalogue, c)
}

// publish puts a newer configuration in force.
func publish(log logger.Logger, c *cataloguer.Catalogue, revision uint64, values map[string]*cataloguer.Configuration) {
	for _, next := range values {
		old := uint64(0)
		if now := c.Configuration(); now != nil {
			old = now.Version
		}
		if c.SetConfiguration(next) {
			log.Event("configuration", logger.Fields{
				"version": next.Version, "before": old, "revision": revision, "routes": len(next.Routes), "services": len(next.Services), "organisations": len(next.Organisations),
			})
		}
	}
}

func buildRelayer(k *kernel) error {
	f := &finder{kernel: k}
	a := find[Adapter](f, NameAdapter)
	c := find[*cataloguer.Catalogue](f, NameCatalogue)
	m := find[*meter.Meter](f, NameMeter)
	r := find[*Reloader](f, NameReloader)
	e := find[*enumerator.Enumerator](f, NameEnumerator)
	if f.err != nil {
		return f.err
	}
	b := &balancer.Balancer{}
	if err := m.RegisterGauge("in_flight", "Requests that hold a place at an upstream.", b.InFlight); err != nil {
		return err
	}
	s := &relayer.Relayer{
		Catalogue: c, Protocol: a.Protocol, Pool: &forwarder.Pool{Network: k.network}, Balancer: b,
		Budget: &budgeter.Budget{},
		Log:    k.log, Meter: m, DataCentre: k.settings.DataCentre(), Watchdog: &relayer.Watchdog{Balancer: b, Log: k.log},
	}
	s.CallerShare = func() float64 { return part(e) }
	if k.settings.PeerListen() == "" {
		e.RequestRate = s.RequestRate
	}
	settings := &atomic.Pointer[loader.Settings]{}
	settings.Store(&k.settings)
	r.onReload(func(next loader.Settings) { settings.Store(&next) })
	l, err := k.listen("callers", k.settings.CallersListen())
	if err != nil {
		return err
	}
	k.run(s.Watchdog.Run)
	k.run(func(ctx context.Context) {
		for next := settings.Load(); ; next = settings.Load() {
			s.Budget.Configure(next.RetryWindow(), next.RetryRatio(), next.RetrySlack()/float64(e.Count()))
			if !pauser.Pause(ctx, _sweepEvery) {
				return
			}
			sweep(s.Pool, b, c, time.Now())
			s.ExpireTotalLoad(time.Now())
		}
	})
	k.life.Append(fx.StopHook(s.Pool.Close))
	k.serve("callers", l, s, nil)
	return k.services.Register(NameRelayer, s)
}

// part returns this process's part of all callers. Until loads are known it is
// taken for larger than an even one, since callers are spread unevenly.
func part(e *enumerator.Enumerator) float64 {
	const uneven = 3
	if share, ok := e.Share(); ok {
		return share
	}
	return min(1, uneven/float64(e.Count()))
}

// sweep closes old connections and drops the accounts of upstreams that are gone.
func sweep(p *forwarder.Pool, b *balancer.Balancer, c *cataloguer.Catalogue, now time.Time) {
	p.CloseExpired(now)
	if f := c.Fleet(); f != nil {
		b.Forget(f)
	}
}

func buildConductor(k *kernel) error {
	f := &finder{kernel: k}
	a := find[Adapter](f, NameAdapter)
	c := find[*cataloguer.Catalogue](f, NameCatalogue)
	s := find[*relayer.Relayer](f, NameRelayer)
	shared := find[*sharer.Sharer](f, NameSharer)
	if f.err != nil {
		return f.err
	}
	lease := leaser.New(a.Store, _leaseName, k.settings.Name()+"/"+uuid.NewString(), k.log)
	lease.Duration, lease.Jitter, lease.Name, lease.PollsSlowly = _leaseDuration, true, k.settings.Name(), shared.FollowsGatherer
	shared.OnGathererChange = lease.Wake
	x := &conductor.Conductor{
		OnLeadingChange: c.SetLeading, Lease: lease, Catalogue: c, Upstreams: a.Orders, Log: k.log, TrafficStarted: s.TrafficStarted,
	}
	s.Watchdog.OnSilence = x.Suspect
	k.run(func(ctx context.Context) {
		lease.Run(ctx)
		release, cancel := context.WithTimeout(context.WithoutCancel(ctx), _stopMargin)
		defer cancel()
		lease.Release(release)
	})
	k.run(x.Run)
	return k.services.Register(NameConductor, x)
}

// buildInstanceReadiness makes the process ready once it knows a configuration
// and the upstreams. Built last, it stops first.
func buildInstanceReadiness(k *kernel) error {
	c, err := registrar.Find[*cataloguer.Catalogue](&k.services, NameCatalogue)
	if err != nil {
		return err
	}
	s, err := registrar.Find[*relayer.Relayer](&k.services, NameRelayer)
	if err != nil {
		return err
	}
	k.health.HasConfiguration = func() bool { return c.Configuration() != nil && c.Fleet() != nil }
	k.life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			k.health.MarkStarted()
			k.log.Event("start", logger.Fields{"data_centre": k.settings.DataCentre(), "platform": k.settings.Platform()})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			k.health.MarkShuttingDown()
			s.StartDraining()
			k.log.Event("leave", logger.Fields{"notice": k.settings.DrainNotice(), "limit": k.settings.DrainLimit()})
			pauser.Pause(ctx, k.settings.DrainNotice())
			return nil
		},
	})
	return nil
}

// InstanceProgram runs an instance's command line, as Program does.
func InstanceProgram(args []string, adapt Adapt, output, faults io.Writer) int {
	s, code, run := readSettings(loader.RoleInstance, args, output, faults)
	if !run {
		return code
	}
	log := logger.NewBuffer(output)
	defer func() { _ = log.Close() }() // it never fails
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r := &Reloader{
		Load:    func() (loader.Settings, error) { return loader.Load(loader.RoleInstance, args, io.Discard) },
		File:    s.File(),
		Signals: hangups,
	}
	code = runApp(Instance(s, networker.System{}, adapt, r, log), log)
	fmt.Fprintf(log, "time=%q level=info event=stop code=%d process=%s\n", time.Now().Format(time.RFC3339Nano), code, s.Name())
	return code
}
