package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/operator"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// statusClient answers probes of e1 and fails all others.
type statusClient struct{}

func (statusClient) Status(_ context.Context, address string) (engineclient.Status, error) {
	if address != "10.0.0.1:80" {
		return engineclient.Status{}, assert.AnError
	}
	return engineclient.Status{Instance: "e1", State: engineclient.StateReady, Replica: "forms/f1/1", Generation: 3}, nil
}

func TestInstancesShowProbeResults(t *testing.T) {
	tracker := placementtracker.New(standin.NewStore(), &reader.Schedule{}, logger.Logger{})
	tracker.ApplyPlacement(&wire.Placement{DataCentre: "qld-bne", Domain: "f1", Revision: 1, Replicas: []*wire.Replica{
		{Name: "forms/f1/1", Members: []string{"e1", "e2"}, Addresses: []string{"10.0.0.1:80", "10.0.0.2:80"}},
	}})
	p := prober.New(statusClient{}, logger.Logger{})
	defer p.Close()
	p.SetTargets([]prober.Target{
		{Instance: "e1", Address: "10.0.0.1:80", Interval: time.Hour},
		{Instance: "e2", Address: "10.0.0.2:80", Interval: time.Hour},
	})
	require.Eventually(t, func() bool { return p.Evidence("e1").Status().Instance != "" && p.Evidence("e2").Failed() }, time.Minute, time.Millisecond)
	a := operator.API{
		Configuration: configurer.New(nil, nil, logger.Logger{}), Placements: tracker, Evidence: p,
		Tokens: map[string]string{authenticator.Digest("token"): "ana"},
	}
	r := httptest.NewRequest(http.MethodGet, "/operator/v1/instances", nil)
	r.Header.Set("Authorization", "Bearer token")
	response := httptest.NewRecorder()
	a.Handler().ServeHTTP(response, r)
	var page operator.InstancePage
	require.NoError(t, json.Unmarshal(response.Body.Bytes(), &page))
	require.Len(t, page.Instances, 2)

	ready, failed := page.Instances[0], page.Instances[1]
	assert.Equal(t, "e1", ready.Name)
	assert.Equal(t, "qld-bne", ready.DataCentre)
	assert.False(t, ready.Listed, "a placed instance is included before the platform's list contains it")
	assert.True(t, ready.Ready)
	assert.Equal(t, "forms/f1/1", ready.Replica)
	assert.Equal(t, uint64(3), ready.Generation)

	assert.Equal(t, "e2", failed.Name)
	assert.False(t, failed.Probed)
	assert.True(t, failed.ProbeFailed)
}
