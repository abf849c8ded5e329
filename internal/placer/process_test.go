package placer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/leaser"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/placer"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// process is one placer, with its own connection to the fleet.
type process struct {
	*connection
	configurer *configurer.Configurer
	log        bytes.Buffer
	stop       func()
}

// start starts a placer. Its stop must be called before the test's synctest bubble
// ends.
func (f *fleet) start(name string) *process {
	p := &process{connection: &connection{fleet: f}}
	log := logger.New(&p.log, name)
	p.configurer = configurer.New(nil, nil, logger.Logger{})
	pr := prober.New(p.connection, logger.Logger{})
	x := &placer.Placer{
		DataCentre: "dc", Process: name, Configuration: p.configurer, Placements: placementtracker.New(p.connection, nil, logger.Logger{}),
		Store: p.connection, Lease: leaser.New(p.connection, "dc", name, log), Prober: pr, Orderer: p.connection, Log: log,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { x.Run(ctx) })
	p.stop = func() {
		cancel()
		group.Wait()
		_ = pr.Close()
	}
	return p
}

// configure puts a configuration document into force.
func (p *process) configure(t require.TestingT, number uint64, d validator.Document) {
	text, err := json.Marshal(d)
	require.NoError(t, err)
	require.True(t, p.configurer.ApplyRecord(&wire.ConfigurationRecord{Number: number, Document: string(text)}, "test"))
}
