package composer

import (
	"time"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/surveyor"
)

// Names of the services that calls to plain services need.
const (
	NameRecorder = "recorder"
	NameSurveyor = "surveyor"
)

// buildRecorder builds the keeper of call records and what trims them. It is
// closed after the server, which stands later in the order.
func buildRecorder(k *kernel) error {
	store, err := registrar.Find[*storer.Client](&k.services, NameStore)
	if err != nil {
		return err
	}
	c, err := registrar.Find[*configurer.Configurer](&k.services, NameConfigurer)
	if err != nil {
		return err
	}
	r := recorder.New(store, k.log)
	k.life.Append(fx.StopHook(r.Close))
	t := &recorder.Trimmer{Store: store, Process: k.settings.Name(), Log: k.log, Retention: func() (time.Duration, bool) {
		s := c.Current()
		return s.Document().Policy.Retention(), s.Number() > 0
	}}
	k.run(t.Run)
	return k.services.Register(NameRecorder, r)
}

// buildSurveyor builds what learns of leaving upstreams of plain services.
func buildSurveyor(k *kernel) error {
	c, w, _, err := views(k)
	if err != nil {
		return err
	}
	client := engineclient.New(k.network)
	k.life.Append(fx.StopHook(client.Close))
	s := &surveyor.Surveyor{Configuration: c, Platform: w, Client: client, Log: k.log}
	k.run(s.Run)
	return k.services.Register(NameSurveyor, s)
}
