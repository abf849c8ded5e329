package composer

import (
	"time"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/servicepoller"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// Names under which the parts of an entry that serve calls to plain services are
// registered.
const (
	NameRecorder      = "recorder"
	NameServicePoller = "servicepoller"
)

// buildRecorder builds the recorder, which keeps the records of calls, and the trimmer,
// which deletes expired ones. The server is built later and so stops first: the recorder
// closes after the last call.
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
	k.lifecycle.Append(fx.StopHook(r.Close))
	t := &recorder.Trimmer{Store: store, Process: k.settings.Name(), Log: k.log, Retention: func() (time.Duration, bool) {
		s := c.Current()
		return s.Document().Policy.Retention(), s.Number() > 0
	}}
	k.run(t.Run)
	return k.services.Register(NameRecorder, r)
}

// buildServicePoller builds the service poller, which finds out which upstreams of
// plain services are leaving.
func buildServicePoller(k *kernel) error {
	c, t, _, err := findViews(k)
	if err != nil {
		return err
	}
	client := engineclient.New(k.network)
	k.lifecycle.Append(fx.StopHook(client.Close))
	p := &servicepoller.Poller{Configuration: c, Platform: t, Client: client, Log: k.log}
	k.run(p.Run)
	return k.services.Register(NameServicePoller, p)
}
