package composer

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/conductor"
	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// Names under which the services of an instance are registered.
const (
	NameAdapter    = "adapter"
	NameCatalogue  = "catalogue"
	NameConductor  = "conductor"
	NameEnumerator = "enumerator"
	NameRelayer    = "relayer"
	NameReloader   = "reloader"
	NameScreener   = "screener"
	NameSharer     = "sharer"
)

const (
	// _leaseName is the name of the lease of the instance that sends orders to upstreams.
	_leaseName = "conductor"
	// _leaseDuration is how long a lease lasts without renewal: when its holder has
	// died, no other instance sends orders for that long. Safety does not depend on it.
	_leaseDuration = 1500 * time.Millisecond
	// _releaseTimeout bounds the release of the lease at the end of a graceful shutdown.
	_releaseTimeout = 500 * time.Millisecond
	// _stopMargin is the time kept free at the end of a graceful shutdown, after the
	// requests in progress, in which the lease is released and a slow processor ends
	// what runs.
	_stopMargin = time.Second
	// _removalGrace is how long an upstream stays in use after its record in the store
	// expired during an outage. Upstreams write their records again within two seconds.
	_removalGrace = 1800 * time.Millisecond
	// _initialInstanceCount is the assumed number of instances until the first count.
	_initialInstanceCount = 8
	// _startTime is how long an instance takes at most, where peers or the store answer, to
	// know the configuration and the list of upstreams.
	_startTime = 3 * time.Second
)

// Store is the part of the platform's store that an instance reads and writes itself.
type Store interface {
	leaser.Store
	enumerator.Store
	// Peek is like Get, but the object may be some seconds out of date.
	Peek(ctx context.Context, key string) (storer.Object, error)
}

// Adapter connects an instance to a platform.
type Adapter struct {
	Store Store
	// Configurations and Upstreams return objects in the platform's encoding; the Decode
	// functions decode them.
	Configurations      reflector.Source[[]byte]
	DecodeConfiguration func(name string, value []byte) (*cataloguer.Configuration, error)
	Upstreams           reflector.Source[[]byte]
	DecodeUpstream      func(name string, value []byte) (cataloguer.Upstream, error)
	// Evacuations are the operators' evacuations of data centres; DecodeEvacuation
	// returns the data centre of one.
	Evacuations      reflector.Source[[]byte]
	DecodeEvacuation func(name string, value []byte) (string, error)
	Orders           conductor.UpstreamClient
	Protocol         relayer.Protocol
	// OnStoreReturn sets what is called when the store has come back from an older copy, with
	// the eras before and since; nil if the platform's store has none.
	OnStoreReturn func(f func(before, now uint64))
	// ReadinessPath is the path of the platform's readiness checks.
	ReadinessPath string
}

// AdapterFunc returns the adapter to the platform that the settings name.
type AdapterFunc func(s loader.Settings, network networker.Network, m *meter.Meter) Adapter

// NewInstance returns the application of an instance. It writes log lines to output.
func NewInstance(s loader.Settings, network networker.Network, adapt AdapterFunc, reloader *Reloader, output io.Writer) *fx.App {
	buildReloaderAndAdapter := func(k *kernel) error {
		k.run(func(ctx context.Context) { reloader.run(ctx, k.log) })
		if err := k.services.Register(NameReloader, reloader); err != nil {
			return err
		}
		return buildAdapter(k, adapt)
	}
	return compose(s, network, output, buildReloaderAndAdapter, buildSharer, buildScreener, buildCatalogue, buildRelayer, buildConductor, connectSharer, buildInstanceReadiness)
}

// buildAdapter builds the meter and the adapter, and the server for metrics and health
// checks.
func buildAdapter(k *kernel, adapt AdapterFunc) error {
	m, err := meter.New()
	if err != nil {
		return err
	}
	a := adapt(k.settings, k.network, m)
	if err := k.observeReturns(a, m); err != nil {
		return err
	}
	account := k.account()
	l, err := k.listenBuffered("metrics", k.settings.MetricsListen(), networker.Buffers{Receive: account.CallerBuffer(), Backlog: account.Monitors()})
	if err != nil {
		return err
	}
	k.health.ReadyPath = a.ReadinessPath
	k.serveLimited("metrics", l, k.health.Handler(m), &drainer.Drainer{Limit: account.Monitors(), HeadMemoryLimit: account.MonitorHeads()}, shutdownHooks{})
	if err := k.services.Register(NameMeter, m); err != nil {
		return err
	}
	return k.services.Register(NameAdapter, a)
}

// observeReturns logs and counts the returns of the store from older copies.
func (k *kernel) observeReturns(a Adapter, m *meter.Meter) error {
	if a.OnStoreReturn == nil {
		return nil
	}
	var returns atomic.Int64
	a.OnStoreReturn(func(before, now uint64) {
		returns.Add(1)
		select {
		case k.storeReturned <- struct{}{}:
		default:
			// The secret is about to be looked for.
		}
		k.log.Warn("store-returned", logger.Fields{"era": now, "before": before, "outcome": "everything is read again; earlier versions and terms are not taken"})
	})
	return m.RegisterGauge("store_returns", "Returns of the platform's store from an older copy that this process has met.", returns.Load)
}

// buildCatalogue builds the catalogue, and the reflectors that keep its configuration and
// its list of upstreams up to date.
func buildCatalogue(k *kernel) error {
	f := &finder{kernel: k}
	a := find[Adapter](f, NameAdapter)
	sh := find[*sharer.Sharer](f, NameSharer)
	e := find[*enumerator.Enumerator](f, NameEnumerator)
	sc := find[*screener.Screener](f, NameScreener)
	if f.err != nil {
		return f.err
	}
	c := &cataloguer.Catalogue{}
	upstreamSource := sh.Source("upstreams", a.Upstreams)
	upstreamSource.ReadsDirectly = c.Leading
	configurationSource := sh.Source("configuration", a.Configurations)
	configurationSource.Probe = upstreamSource
	configurationSource.IsOlder = func(name string, value, known []byte) bool {
		next, err := a.DecodeConfiguration(name, value)
		current, knownErr := a.DecodeConfiguration(name, known)
		return err == nil && knownErr == nil && next.Version < current.Version
	}
	configurations := &reflector.Reflector[*cataloguer.Configuration]{
		Kind: "configuration", Log: k.log, Recovered: configurationSource.Recovered,
		Source: reflector.DecodingSource[*cataloguer.Configuration]{Source: configurationSource, Decode: a.DecodeConfiguration},
		Publish: func(revision uint64, values map[string]*cataloguer.Configuration) {
			publishConfiguration(k.log, c, sc, revision, values)
		},
		BatchDelay: func() time.Duration {
			if c.Configuration() == nil {
				return 0
			}
			return k.readerState(c, sh, e).configurationDelay()
		},
	}
	upstreams := &reflector.Reflector[cataloguer.Upstream]{
		Kind: "upstreams", Log: k.log, Recovered: upstreamSource.Recovered,
		Source:       reflector.DecodingSource[cataloguer.Upstream]{Source: upstreamSource, Decode: a.DecodeUpstream},
		RemovalGrace: _removalGrace, OnOutage: c.SetListUnavailable, OnAnswer: c.SetListReadAt,
		BatchDelay: func() time.Duration { return k.readerState(c, sh, e).listDelay() },
		Publish: func(revision uint64, values map[string]cataloguer.Upstream) {
			f := cataloguer.NewFleet(revision, values)
			observeFleet(k.log, sc, f, time.Now())
			c.SetFleet(f)
		},
	}
	k.run(configurations.Run)
	k.run(upstreams.Run)
	if k.settings.EvacuationBound() > 0 {
		source := sh.Source("evacuations", a.Evacuations)
		source.Probe = upstreamSource
		followEvacuations(k, c, sc, reflector.DecodingSource[string]{Source: source, Decode: a.DecodeEvacuation}, source.Recovered)
	}
	return k.services.Register(NameCatalogue, c)
}

// publishConfiguration puts a configuration in force if it is newer than the current one.
func publishConfiguration(log logger.Logger, c *cataloguer.Catalogue, sc *screener.Screener, revision uint64, values map[string]*cataloguer.Configuration) {
	for _, next := range values {
		old := uint64(0)
		if current := c.Configuration(); current != nil {
			old = current.Version
		}
		if c.SetConfiguration(next) {
			sc.SetConfiguration(next)
			log.Event("configuration", logger.Fields{
				"version": next.Version, "before": old, "revision": revision, "routes": len(next.Routes), "services": len(next.Services), "organisations": len(next.Organisations),
			})
			for _, s := range next.SharedKeys() {
				log.Warn("key-shared", logger.Fields{"version": next.Version, "organisation": s.Owner, "other": s.Other, "outcome": "requests with the key belong to organisation"})
			}
		}
	}
}

// buildConductor builds the conductor and its lease, which is released at the end of the
// application.
func buildConductor(k *kernel) error {
	f := &finder{kernel: k}
	a := find[Adapter](f, NameAdapter)
	c := find[*cataloguer.Catalogue](f, NameCatalogue)
	rl := find[*relayer.Relayer](f, NameRelayer)
	sh := find[*sharer.Sharer](f, NameSharer)
	sc := find[*screener.Screener](f, NameScreener)
	if f.err != nil {
		return f.err
	}
	lease := leaser.New(a.Store, _leaseName, k.settings.Name()+"/"+uuid.NewString(), k.log)
	lease.Duration, lease.Jitter, lease.Name = _leaseDuration, true, k.settings.Name()
	lease.PollsSlowly, lease.PollsQuickly = sh.IsRelieved, sh.IsReader
	sh.OnRoleChange = lease.Wake
	cd := &conductor.Conductor{
		OnLeadingChange: c.SetLeading, Lease: lease, Catalogue: c, Upstreams: a.Orders, Log: k.log, TrafficStarted: rl.TrafficStarted,
		LastActivity: rl.Balancer.LastActivityOfAll, ProcessorShare: k.settings.ProcessorShare(), Screener: sc,
	}
	rl.Watchdog.OnSilence = cd.Suspect
	k.run(func(ctx context.Context) {
		// A process that follows a peer reads the lease seldom.
		sh.AwaitRole(ctx)
		lease.Run(ctx)
		release, cancel := context.WithTimeout(context.WithoutCancel(ctx), _releaseTimeout)
		defer cancel()
		lease.Release(release)
	})
	k.run(cd.Run)
	return k.services.Register(NameConductor, cd)
}

// buildInstanceReadiness builds the hooks that report the process as ready while it runs
// and has a configuration and the list of upstreams. They are built last, and so stop
// first: the process is reported as not ready before its listeners close.
func buildInstanceReadiness(k *kernel) error {
	c, err := registrar.Find[*cataloguer.Catalogue](&k.services, NameCatalogue)
	if err != nil {
		return err
	}
	rl, err := registrar.Find[*relayer.Relayer](&k.services, NameRelayer)
	if err != nil {
		return err
	}
	k.health.HasConfiguration = c.IsComplete
	k.lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			k.health.MarkStarted()
			k.log.Event("start", logger.Fields{"data_centre": k.settings.DataCentre(), "platform": k.settings.Platform()})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			k.stopBeganAt = time.Now()
			k.health.MarkShuttingDown()
			rl.StartDraining(relayer.Shutdown{BeganAt: k.stopBeganAt, NoticeEnd: k.stopBeganAt.Add(k.settings.DrainNotice()), SettleAt: k.settleDeadline()})
			k.log.Event("leave", logger.Fields{"notice": k.settings.DrainNotice(), "limit": k.settings.DrainLimit()})
			pauser.Pause(ctx, k.settings.DrainNotice())
			return nil
		},
	})
	return nil
}

// RunInstance runs an instance's command line, as RunDaemon does, and reloads the settings
// on SIGHUP or when their file has changed.
func RunInstance(args []string, adapt AdapterFunc, output, errOutput io.Writer) int {
	// A SIGHUP during the start must not end the process.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	s, code, run := readSettings(loader.RoleInstance, args, output, errOutput)
	if !run {
		return code
	}
	log := logger.NewBuffer(output)
	defer func() { _ = log.Close() }() // Close never fails
	r := &Reloader{
		Load:    func() (loader.Settings, error) { return loader.Load(loader.RoleInstance, args, io.Discard) },
		File:    s.File(),
		Signals: hangUps,
	}
	code = runApp(NewInstance(s, networker.System{}, adapt, r, log), logger.New(log, s.Name()), log)
	fmt.Fprintf(log, "time=%q level=info event=stop code=%d process=%s\n", time.Now().Format(time.RFC3339Nano), code, s.Name())
	return code
}
