package composer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/accountant"
	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

const (
	// _defaultResponseMemory is the memory of responses that are read whole where an instance has
	// no memory limit, in bytes.
	_defaultResponseMemory = 32 << 20
	// _cleanUpInterval is the time between two checks for connections to close and data
	// to remove.
	_cleanUpInterval = time.Second
)

// buildRelayer builds the relayer, its balancer, retry budget and watchdog, and the server
// for callers.
func buildRelayer(k *kernel) error {
	f := &finder{kernel: k}
	a := find[Adapter](f, NameAdapter)
	c := find[*cataloguer.Catalogue](f, NameCatalogue)
	m := find[*meter.Meter](f, NameMeter)
	r := find[*Reloader](f, NameReloader)
	e := find[*enumerator.Enumerator](f, NameEnumerator)
	sc := find[*screener.Screener](f, NameScreener)
	if f.err != nil {
		return f.err
	}
	b := &balancer.Balancer{}
	rl := &relayer.Relayer{
		Catalogue: c, Protocol: a.Protocol, Pool: &forwarder.Pool{Network: k.upstreamNetwork()}, Balancer: b, Screener: sc,
		Budget: &budgeter.Budget{SlackFrom: time.Now().Add(k.settings.RetryWindow())},
		Log:    k.log, Meter: m, DataCentre: k.settings.DataCentre(), Watchdog: &relayer.Watchdog{Balancer: b, Log: k.log},
	}
	if err := registerRelayerGauges(m, rl, c, sc); err != nil {
		return err
	}
	account := k.account()
	rl.Bodies.Limit, rl.Responses.Limit = account.Bodies(), account.Responses()
	if rl.Responses.Limit == 0 {
		rl.Responses.Limit = _defaultResponseMemory
	}
	rl.CallerShare = func() float64 { return callerShare(e) }
	rl.StartsUntil = time.Now().Add(_startTime)
	if k.settings.PeerListen() == "" {
		e.RequestRate = rl.RequestRate
	}
	settings := &atomic.Pointer[loader.Settings]{}
	settings.Store(&k.settings)
	r.onReload(func(next loader.Settings) { settings.Store(&next) })
	l, err := k.listenBuffered("callers", k.settings.CallersListen(), networker.Buffers{Receive: account.CallerBuffer(), Backlog: account.Backlog()})
	if err != nil {
		return err
	}
	k.run(rl.Watchdog.Run)
	k.run(func(ctx context.Context) {
		limitRetries := &retryLimiter{settings: settings, enumerator: e, budget: rl.Budget, log: k.log, logged: -1}
		for {
			limitRetries.update(time.Now())
			if !pauser.Pause(ctx, _cleanUpInterval) {
				return
			}
			cleanUp(rl, c, time.Now())
			sc.SetProcesses(processNames(e.Members()), time.Now())
			rl.ExpireTotalLoad(time.Now())
		}
	})
	k.lifecycle.Append(fx.StopHook(rl.Pool.Close))
	if err := k.serveCallers(l, rl, m, account); err != nil {
		return err
	}
	return k.services.Register(NameRelayer, rl)
}

// registerRelayerGauges registers what shows the requests, the upstreams and what is refused.
func registerRelayerGauges(m *meter.Meter, rl *relayer.Relayer, c *cataloguer.Catalogue, sc *screener.Screener) error {
	for _, x := range []struct {
		name, description string
		read              func() int64
	}{
		{"in_flight", "Requests that hold a slot at an upstream.", rl.Balancer.InFlight},
		{"models_without_group", "Models that no open group serves, in the latest fleet.", c.ModelsWithoutGroup},
		{"quarantined_parts", "Quarantines in force. Each is of one part of prompts, or of several that are refused only together.", rl.Quarantine.Count},
	} {
		if err := m.RegisterGauge(x.name, x.description, x.read); err != nil {
			return err
		}
	}
	if err := registerScreenerGauges(m, sc, c); err != nil {
		return err
	}
	return registerPoolGauges(m, rl.Pool)
}

// retryLimiter keeps the retry budget to this instance's part of the slack.
type retryLimiter struct {
	settings   *atomic.Pointer[loader.Settings]
	enumerator *enumerator.Enumerator
	budget     *budgeter.Budget
	log        logger.Logger
	share      budgeter.Share
	// logged is the slack that was last logged; below 0 if none was.
	logged float64
}

// update applies the settings and the number of instances as they are now.
func (r *retryLimiter) update(now time.Time) {
	s := r.settings.Load()
	r.share.Window = s.RetryWindow()
	slack := retrySlack(s.RetrySlack(), r.enumerator, &r.share, now)
	r.budget.Configure(s.RetryWindow(), s.RetryRatio(), slack)
	if slack != r.logged {
		r.log.Event("retry-slack", logger.Fields{"slack": slack, "before": max(r.logged, 0), "of": s.RetrySlack(), "instances": r.enumerator.Count()})
		r.logged = slack
	}
}

// serveCallers serves the requests of callers on a listener, within the instance's account.
func (k *kernel) serveCallers(l net.Listener, rl *relayer.Relayer, m *meter.Meter, account accountant.Account) error {
	heap := &accountant.Heap{Account: account}
	heap.Start()
	d := &drainer.Drainer{
		Limit: account.Callers(), HeadMemoryLimit: account.Heads(), ReceiveBuffer: account.CallerBuffer(), BodyBuffer: account.BodyBuffer(),
		OnReceiveBuffer: func(difference int) { heap.AddUnread(accountant.UnreadBytes(difference)) },
	}
	if err := registerCallerGauges(m, rl, d, heap); err != nil {
		return err
	}
	k.serveLimited("callers", l, rl, d, shutdownHooks{settle: rl.SettleRequests, cut: func() { rl.LogCutRequests(time.Now()) }})
	return nil
}

// account returns the division of the instance's memory.
func (k *kernel) account() accountant.Account {
	return accountant.Account{MemoryLimit: k.settings.MemoryLimit(), DescriptorsLimit: k.settings.DescriptorsLimit()}
}

// upstreamNetwork returns the network of connections to upstreams, which may send without end.
func (k *kernel) upstreamNetwork() networker.Network {
	return networker.WithBuffers(k.network, networker.Buffers{Receive: k.account().DialBuffer()})
}

// registerPoolGauges registers what shows that upstreams send responses twice.
func registerPoolGauges(m *meter.Meter, p *forwarder.Pool) error {
	if err := m.RegisterGauge("responses_skipped", "Responses to earlier requests that came on a connection in use again.", p.Skipped); err != nil {
		return err
	}
	return m.RegisterGauge("connections_passed_over", "Idle connections not used for a request since they had carried it before.", p.PassedOver)
}

// counter counts the running instances.
type counter interface {
	Count() int
	Counted() bool
}

// retrySlack returns this instance's part of a slack that all instances share. Until the
// instances have been counted it is 0, since an assumed number may be far too small.
func retrySlack(total float64, c counter, s *budgeter.Share, now time.Time) float64 {
	if !c.Counted() {
		return 0
	}
	return s.Of(total, c.Count(), now)
}

// callerShare returns the fraction of all callers that this process serves. Until the
// loads are known, it assumes more than an even share, since callers are distributed
// unevenly.
func callerShare(e *enumerator.Enumerator) float64 {
	const maxImbalance = 3 // times an even share
	if share, ok := e.Share(); ok {
		return share
	}
	return min(1, maxImbalance/float64(e.Count()))
}

// cleanUp closes expired connections, and removes the balancer's data of upstreams that
// are no longer listed and limits that are no longer stated.
func cleanUp(rl *relayer.Relayer, c *cataloguer.Catalogue, now time.Time) {
	rl.Pool.CloseExpired(now)
	if f := c.Fleet(); f != nil {
		rl.Balancer.Forget(f)
		rl.ForgetLimits(f, now)
	}
}
