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

	"github.com/lycheebarrow/lycheebarrow/internal/journaler"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
)

// Names of the services.
const (
	NameStore      = "store"
	NameConfigurer = "configurer"
	NameWatcher    = "watcher"
	NameProber     = "prober"
	NameDispatcher = "dispatcher"
	NameServer     = "server"
	NameOperator   = "operator"
	NamePlacer     = "placer"
	NameReplicator = "replicator"
	NameTurns      = "turns"
)

// _headerTimeout bounds the wait for a request's headers.
const _headerTimeout = 10 * time.Second

// kernel holds what every service is built from, and runs the services.
type kernel struct {
	settings loader.Settings
	network  networker.Network
	log      logger.Logger
	journal  *journaler.Journal
	health   meter.Health
	services registrar.Registrar
	life     fx.Lifecycle
	// operators is where operators are served.
	operators net.Listener

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// build makes one service.
type build func(k *kernel) error

// compose returns an application that builds the services in order.
func compose(s loader.Settings, network networker.Network, output io.Writer, builds ...build) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout(s)),
		fx.Provide(func(l fx.Lifecycle) *kernel {
			k := &kernel{settings: s, network: networker.TimeoutNetwork{Network: network}, journal: new(journaler.Journal), life: l}
			k.log = logger.New(output, s.Name()).WithSink(k.journal)
			k.ctx, k.cancel = context.WithCancel(context.Background())
			l.Append(fx.StopHook(func() {
				k.cancel()
				k.group.Wait()
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

// stopTimeout is how long a graceful shutdown may take; without a limit in the
// settings it is as good as endless.
func stopTimeout(s loader.Settings) time.Duration {
	const endless = 365 * 24 * time.Hour
	if s.DrainLimit() == 0 {
		return endless
	}
	return s.DrainNotice() + s.DrainLimit() + 10*time.Second
}

// shutdownLimit is how long requests in progress may take once a listener has
// closed; 0 means no limit. An instance's limit includes the notice before it.
func shutdownLimit(s loader.Settings) time.Duration {
	if s.Role() != loader.RoleInstance || s.DrainLimit() == 0 {
		return s.DrainLimit()
	}
	return max(s.DrainLimit()-s.DrainNotice()-_stopMargin, time.Millisecond)
}

// run runs a service's loop from the start to the stop of the application.
func (k *kernel) run(loop func(ctx context.Context)) {
	k.life.Append(fx.StartHook(func() {
		k.group.Go(func() { loop(k.ctx) })
	}))
}

// listen opens a listener now, so that a port in use is an error at the start.
func (k *kernel) listen(name, address string) (net.Listener, error) {
	l, err := k.network.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("composer: listen for %s at %s: %w; choose a free port with -%s-listen", name, address, err, name)
	}
	k.log.Event("listen", logger.Fields{"service": name, "address": l.Addr().String()})
	return l, nil
}

// serve serves h on l; at the stop it calls before, and waits until every
// request has its answer or the drain limit has passed.
func (k *kernel) serve(name string, l net.Listener, h http.Handler, before func()) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: _headerTimeout, MaxHeaderBytes: 64 << 10}
	k.life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			k.group.Go(func() {
				if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					k.health.MarkServiceEnded(name)
					k.log.Failure("serve-failed", err, logger.Fields{"service": name})
				}
			})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if before != nil {
				before()
			}
			if d := shutdownLimit(k.settings); d > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, d)
				defer cancel()
			}
			if err := s.Shutdown(ctx); err != nil {
				k.log.Failure("drain-cut", err, logger.Fields{"service": name})
				return s.Close()
			}
			return nil
		},
	})
}
