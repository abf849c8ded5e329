package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/meter"
)

func TestMetricsAreServed(t *testing.T) {
	m, err := meter.New()
	require.NoError(t, err)
	length := int64(3)
	require.NoError(t, m.RegisterGauge("queue_length", "Requests that wait.", func() int64 { return length }))
	recordAll(m)
	length = 4
	body := get(t, m, new(meter.Health), "/metrics")
	for _, line := range []string{
		`lycheebarrow_requests_total{organisation="acme",outcome="ran"} 1`,
		`lycheebarrow_requests_total{organisation="none",outcome="not-run"} 1`,
		`lycheebarrow_refusals_total{code="bad-key"} 1`,
		`lycheebarrow_first_token_seconds_bucket{organisation="acme",le="1.5"} 1`,
		`lycheebarrow_first_token_seconds_bucket{organisation="acme",le="1"} 0`,
		`lycheebarrow_queue_wait_seconds_count 1`,
		`lycheebarrow_probes_total{result="error"} 1`,
		`lycheebarrow_platform_calls_total{call="watch",result="ok"} 1`,
		`lycheebarrow_queue_length 4`,
	} {
		assert.Contains(t, body, line+"\n")
	}
}

func TestZeroMeterDiscardsMeasurements(t *testing.T) {
	var m meter.Meter
	assert.NotPanics(t, func() { recordAll(&m) })
	assert.NoError(t, m.RegisterGauge("queue_length", "Requests that wait.", func() int64 { return 1 }))
}

// recordAll records at least one measurement of each kind.
func recordAll(m *meter.Meter) {
	m.CountRequest("acme", "ran")
	m.CountRequest("", "not-run")
	m.CountRefusal("bad-key")
	m.ObserveFirstToken("acme", 1200*time.Millisecond)
	m.ObserveQueueWait(time.Second)
	m.CountProbe(false)
	m.CountPlatformCall("watch", true)
}

func TestReadiness(t *testing.T) {
	testCases := []struct {
		name  string
		setUp func(h *meter.Health)
		want  string
	}{
		{name: "new", setUp: func(*meter.Health) {}, want: "not ready: starting"},
		{name: "started", setUp: func(h *meter.Health) { h.MarkStarted() }, want: "ready"},
		{name: "no configuration", setUp: func(h *meter.Health) {
			h.HasConfiguration = func() bool { return false }
			h.MarkStarted()
		}, want: "not ready: no configuration is in force yet"},
		{name: "service ended", setUp: func(h *meter.Health) {
			h.MarkStarted()
			h.MarkServiceEnded("callers")
		}, want: "not ready: service callers ended"},
		{name: "shutting down", setUp: func(h *meter.Health) {
			h.MarkStarted()
			h.MarkShuttingDown()
		}, want: "not ready: shutting down"},
		{name: "shutting down before the start", setUp: func(h *meter.Health) {
			h.MarkShuttingDown()
			h.MarkStarted()
		}, want: "not ready: shutting down"},
	}
	for _, c := range testCases {
		t.Run(c.name, func(t *testing.T) {
			m, err := meter.New()
			require.NoError(t, err)
			var h meter.Health
			c.setUp(&h)
			assert.Equal(t, c.want, strings.TrimSpace(get(t, m, &h, "/readyz")))
			assert.Equal(t, "ok\n", get(t, m, &h, "/healthz"))
		})
	}
}

// get returns the body of the response for a path.
func get(t *testing.T, m *meter.Meter, h *meter.Health, path string) string {
	t.Helper()
	w := httptest.NewRecorder()
	h.Handler(m).ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w.Body.String()
}
