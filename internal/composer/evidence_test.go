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

// fixedStatus is a client that answers every probe with the same status.
type fixedStatus engineclient.Status

func (s fixedStatus) Status(context.Context, string) (engineclient.Status, error) {
	return engineclient.Status(s), nil
}

// departures holds the boots of the instances that peers report to be leaving, by
// instance name.
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
		{name: "no report"},
		{name: "own status", own: true, leaving: true},
		{name: "peer report about this boot", peers: departures{"e1": "boot-2"}, leaving: true},
		{name: "peer report about an earlier boot", peers: departures{"e1": "boot-1"}},
		{name: "peer report from the platform's list, without a boot", peers: departures{"e1": ""}, leaving: true},
		{name: "peer report about another instance", peers: departures{"e2": ""}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := prober.New(fixedStatus{Instance: "e1", Boot: "boot-2", Leaving: tc.own}, logger.Logger{})
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
