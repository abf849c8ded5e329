package composer

import (
	"context"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
)

// NameMeter is the name under which the meter is registered.
const NameMeter = "meter"

// buildMeter builds the meter, and the server for metrics and health checks. The server
// is built first and so stops last: readiness can be queried during the whole shutdown.
func buildMeter(k *kernel) error {
	m, err := meter.New()
	if err != nil {
		return err
	}
	l, err := k.listen("metrics", k.settings.MetricsListen())
	if err != nil {
		return err
	}
	k.serve("metrics", l, k.health.Handler(m), shutdownHooks{})
	return k.services.Register(NameMeter, m)
}

// buildReadiness builds the hooks that report the process as ready while it runs and has a
// configuration in force. They are built last, and so start last and stop first: the
// process is reported as not ready before anything else changes.
func buildReadiness(k *kernel) error {
	c, _, _, err := findViews(k)
	if err != nil {
		return err
	}
	m, err := registrar.Find[*meter.Meter](&k.services, NameMeter)
	if err != nil {
		return err
	}
	k.health.HasConfiguration = func() bool { return c.Current().Number() > 0 }
	err = m.RegisterGauge("configuration_number", "Number of the configuration in force.", func() int64 { return int64(c.Current().Number()) })
	if err != nil {
		return err
	}
	k.lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			k.health.MarkStarted()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			k.health.MarkShuttingDown()
			k.log.Event("leave", nil)
			pauser.Pause(ctx, k.settings.DrainNotice())
			return nil
		},
	})
	return nil
}
