package composer

import (
	"time"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/registrar"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// NameRecorder is the name of the keeper of call records.
const NameRecorder = "recorder"

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
