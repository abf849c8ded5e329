package composer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
	"github.com/lycheebarrow/lycheebarrow/internal/journaler"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
)

// Names under which the services of entries and placers are registered.
const (
	NameStore            = "store"
	NameConfigurer       = "configurer"
	NamePlacementTracker = "placementtracker"
	NameProber           = "prober"
	NameDispatcher       = "dispatcher"
	NameServer           = "server"
	NameOperator         = "operator"
	NamePlacer           = "placer"
	NameReplicator       = "replicator"
	NameSchedules        = "turns"
)

const (
	// _headerTimeout limits the time to read a request's headers.
	_headerTimeout = 10 * time.Second
	// _maxHeaderBytes limits the headers of a request, in bytes.
	_maxHeaderBytes = 64 << 10
	// _settleTime is the time before the limit of a shutdown in which open requests get a
	// final response. It is long enough for a process that is short of processor time.
	_settleTime = 300 * time.Millisecond
	// _lastSettleTime is the part of _settleTime that is left for the responses of the
	// requests that are settled last.
	_lastSettleTime = 100 * time.Millisecond
)

// kernel holds the settings and resources that services are built from, and starts and
// stops their loops and servers.
type kernel struct {
	settings loader.Settings
	network  networker.Network
	log      logger.Logger
	// journal keeps the events that the operators' API shows; nil in an instance, which has none.
	journal   *journaler.Journal
	health    meter.Health
	services  registrar.Registrar
	lifecycle fx.Lifecycle
	// operatorListener accepts the connections of operators.
	operatorListener net.Listener
	// stopBeganAt is when the shutdown of an instance began. The hooks that run at the
	// shutdown, one after the other, set and read it.
	stopBeganAt time.Time
	// storeReturned has a value once the store has come back from an older copy, and the secret
	// of the peers has not been looked for since.
	storeReturned chan struct{}

	// ctx ends when the loops of services have to stop.
	ctx    context.Context
	cancel context.CancelFunc
	// running counts the loops and servers that have not ended.
	running sync.WaitGroup
}

// buildFunc builds services and registers them.
type buildFunc func(k *kernel) error

// compose returns an application that calls builds in order. Servers start in that order
// and stop in the reverse order; the loops of services end together after them.
func compose(s loader.Settings, network networker.Network, output io.Writer, builds ...buildFunc) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout(s)),
		fx.Provide(func(l fx.Lifecycle) *kernel {
			k := &kernel{settings: s, network: networker.TimeoutNetwork{Network: network}, lifecycle: l, log: logger.New(output, s.Name()), storeReturned: make(chan struct{}, 1)}
			if s.Role() != loader.RoleInstance {
				k.journal = new(journaler.Journal)
				k.log = k.log.WithSink(k.journal)
			}
			k.ctx, k.cancel = context.WithCancel(context.Background())
			l.Append(fx.StopHook(func() {
				k.cancel()
				k.running.Wait()
			}))
			return k
		}),
		fx.Invoke(func(k *kernel) error {
			for _, b := range builds {
				if err := b(k); err != nil {
					return err
				}
			}
			return nil
		}),
	)
}

// stopTimeout returns the time that a graceful shutdown may take. Without a drain limit
// it returns a year, which in effect is no limit.
func stopTimeout(s loader.Settings) time.Duration {
	const unlimited = 365 * 24 * time.Hour
	if s.DrainLimit() == 0 {
		return unlimited
	}
	return s.DrainNotice() + s.DrainLimit() + 10*time.Second
}

// drainContext returns the context in which a server waits for its requests in progress.
// The drain limit of an instance, unlike that of other roles, bounds the whole shutdown,
// so all servers of an instance share one deadline.
func (k *kernel) drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := k.settings.DrainLimit()
	switch {
	case limit == 0:
		return context.WithCancel(ctx)
	case k.settings.Role() == loader.RoleInstance:
		return context.WithDeadline(ctx, k.drainDeadline())
	default:
		return context.WithTimeout(ctx, limit)
	}
}

// drainDeadline returns when an instance that shuts down cuts responses off; the zero time
// means never.
func (k *kernel) drainDeadline() time.Time {
	if k.settings.DrainLimit() == 0 {
		return time.Time{}
	}
	return k.stopBeganAt.Add(k.settings.DrainLimit() - _stopMargin)
}

// settleDeadline returns when an instance that shuts down settles its open requests; the
// zero time means never.
func (k *kernel) settleDeadline() time.Time {
	if k.settings.DrainLimit() == 0 {
		return time.Time{}
	}
	return k.drainDeadline().Add(-_settleTime)
}

// run runs a service's loop while the application runs. The loop must return when its ctx
// ends.
func (k *kernel) run(loop func(ctx context.Context)) {
	k.lifecycle.Append(fx.StartHook(func() {
		k.running.Go(func() { loop(k.ctx) })
	}))
}

// listen opens a listener at once rather than at the start of the application, so that a
// port in use prevents the start.
func (k *kernel) listen(name, address string) (net.Listener, error) {
	return k.listenBuffered(name, address, networker.Buffers{})
}

// listenBuffered is listen for connections with the given buffers.
func (k *kernel) listenBuffered(name, address string, b networker.Buffers) (net.Listener, error) {
	l, err := networker.WithBuffers(k.network, b).Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("composer: listen for %s at %s: %w; choose a free port with -%s-listen", name, address, err, name)
	}
	k.log.Event("listen", logger.Fields{"service": name, "address": l.Addr().String()})
	return l, nil
}

// serve serves h on l while the application runs. When the application stops, it waits
// until no connection is left or the drain limit has passed.
func (k *kernel) serve(name string, l net.Listener, h http.Handler, hooks shutdownHooks) {
	k.serveLimited(name, l, h, &drainer.Drainer{}, hooks)
}

// shutdownHooks are called while a server shuts down, unless they are nil.
type shutdownHooks struct {
	// begin is called before the server waits for its requests in progress.
	begin func()
	// settle is called _settleTime before the limit. It makes the requests whose responses
	// have not begun end with a final response, the last of them when ctx ends.
	settle func(ctx context.Context)
	// cut is called before the responses that are still open are cut off.
	cut func()
}

// serveLimited is serve with the connections of a drainer, which may limit their number.
func (k *kernel) serveLimited(name string, l net.Listener, h http.Handler, d *drainer.Drainer, hooks shutdownHooks) {
	s := newServer(h)
	l = d.Attach(s, l)
	k.lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			k.running.Go(func() {
				if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					k.health.MarkServiceEnded(name)
					k.log.Failure("serve-failed", err, logger.Fields{"service": name})
				}
			})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if hooks.begin != nil {
				hooks.begin()
			}
			k.log.Event("drain", logger.Fields{"service": name, "connections": d.Open()})
			if err := k.drain(ctx, d, hooks.settle); err != nil {
				k.log.Failure("drain-cut", err, logger.Fields{"service": name})
				if hooks.cut != nil {
					hooks.cut()
				}
			}
			return s.Close()
		},
	})
}

// drain waits until no connection of a server is left, or returns an error if the limit of
// the shutdown has passed. It calls settle before that unless it is nil.
func (k *kernel) drain(ctx context.Context, d *drainer.Drainer, settle func(ctx context.Context)) error {
	limitCtx, cancel := k.drainContext(ctx)
	defer cancel()
	if settle == nil {
		return d.Drain(limitCtx)
	}
	beforeSettle := limitCtx
	if deadline, ok := limitCtx.Deadline(); ok {
		beforeSettle, cancel = context.WithDeadline(limitCtx, deadline.Add(-_settleTime))
		defer cancel()
	}
	if d.Drain(beforeSettle) == nil {
		return nil
	}
	// The limit may have passed already if the process got no processor time; the responses
	// still get _settleTime.
	var settling sync.WaitGroup
	defer settling.Wait()
	last, cancel := context.WithTimeout(ctx, _settleTime)
	defer cancel()
	settling.Go(func() {
		ctx, cancel := context.WithTimeout(last, _settleTime-_lastSettleTime)
		defer cancel()
		settle(ctx)
	})
	return d.Drain(last)
}

// newServer returns a server that bounds the headers of requests and the time that
// callers may take to send them.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: _headerTimeout, MaxHeaderBytes: _maxHeaderBytes}
}
