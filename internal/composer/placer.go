package composer

import (
	"io"

	"github.com/google/uuid"
	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/placer"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// NewPlacer returns the application of a placer. It writes log lines to output.
func NewPlacer(s loader.Settings, network networker.Network, output io.Writer) *fx.App {
	return compose(s, network, output, buildMeter, buildCommon, buildProber, buildPeers, buildPlacer, buildOperator, buildReadiness)
}

// buildPlacer builds the placer and its data centre's lease.
func buildPlacer(k *kernel) error {
	c, t, p, err := findViews(k)
	if err != nil {
		return err
	}
	store, err := registrar.Find[*storer.Client](&k.services, NameStore)
	if err != nil {
		return err
	}
	holder := k.settings.Name() + "/" + uuid.NewString()
	pl := &placer.Placer{
		DataCentre: k.settings.DataCentre(), Process: k.settings.Name(), Configuration: c, Placements: t, Store: store,
		Lease:  leaser.New(store, k.settings.DataCentre(), holder, k.log),
		Prober: p, Orderer: engineclient.New(k.network), Log: k.log,
	}
	m, err := registrar.Find[*meter.Meter](&k.services, NameMeter)
	if err != nil {
		return err
	}
	if err := m.RegisterGauge("lease_held", "1 while this placer holds its data centre's lease.", pl.HoldsLease); err != nil {
		return err
	}
	k.run(pl.Run)
	return k.services.Register(NamePlacer, pl)
}
