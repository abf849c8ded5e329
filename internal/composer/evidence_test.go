package composer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// instance answers every probe with one status.
type instance engineclient.Status

func (i instance) Status(context.Context, string) (engineclient.Status, error) {
	return engineclient.Status(i), nil
}

// departures are what peers found to leave: the boots by instance.
type departures map[string]string

func (d departures) Leaving(instance string) (string, bool) {
	boot, ok := d[instance]
	return boot, ok
}

func TestEvidenceLeaving(t *testing.T) {
	testCases := []struct {
		name    string
		own     bool
		peers   departures
		leaving bool
	}{
		{name: "nobody says so"},
		{name: "own word", own: true, leaving: true},
		{name: "peer about this boot", peers: departures{"e1": "boot-2"}, leaving: true},
		{name: "peer about an earlier boot", peers: departures{"e1": "boot-1"}},
		{name: "peer that read the platform's list", peers: departures{"e1": ""}, leaving: true},
		{name: "peer about another instance", peers: departures{"e2": ""}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := prober.New(instance{Instance: "e1", Boot: "boot-2", Leaving: tc.own}, logger.Logger{})
				defer p.Close()
				p.SetTargets([]prober.Target{{Instance: "e1", Address: "10.0.0.1:9100", Interval: time.Second}})
				synctest.Wait()
				e := &composer.Evidence{Prober: p}
				e.SetDepartures(tc.peers)
				require.Equal(t, tc.leaving, e.Leaving(&wire.Replica{Members: []string{"e1"}}))
			})
		})
	}
}
