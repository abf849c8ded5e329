package composer

import (
	"context"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
)

// NameMeter is the name of the meter.
const NameMeter = "meter"

// buildMeter serves metrics and health. Built first, it stops last, so that
// readiness can be asked for during the whole shutdown.
func buildMeter(k *kernel) error {
	m, err := meter.New()
	if err != nil {
		return err
	}
	l, err := k.listen("metrics", k.settings.MetricsListen())
	if err != nil {
		return err
	}
	k.serve("metrics", l, k.health.Handler(m), nil)
	return k.services.Register(NameMeter, m)
}

// buildReadiness makes the process ready. Built last, it starts last and stops
// first: readiness goes false before anything else changes.
func buildReadiness(k *kernel) error {
	c, _, _, err := views(k)
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
	k.life.Append(fx.Hook{
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
