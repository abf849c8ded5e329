package meter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// _scope names the instruments' origin, and is the prefix of their names.
const _scope = "lycheebarrow"

// _seconds are the bounds of the histograms of waits, in seconds.
var _seconds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30}

// Meter measures one process. The zero value drops everything; make one that
// counts with New. It is safe for concurrent use.
type Meter struct {
	registry *prometheus.Registry
	meter    metric.Meter

	requests   metric.Int64Counter
	refusals   metric.Int64Counter
	probes     metric.Int64Counter
	platform   metric.Int64Counter
	firstToken metric.Float64Histogram
	wait       metric.Float64Histogram
}

// New returns a Meter with a registry of its own.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithNamespace(_scope), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("meter: make the exporter: %w", err)
	}
	m := &Meter{registry: registry, meter: sdk.NewMeterProvider(sdk.WithReader(reader)).Meter(_scope)}
	return m, m.define()
}

func (m *Meter) define() error {
	counters := []struct {
		into          *metric.Int64Counter
		name, meaning string
	}{
		{&m.requests, "requests", "Requests of callers that ended, by organisation and outcome."},
		{&m.refusals, "refusals", "Requests refused, by code."},
		{&m.probes, "probes", "Probes of instances, by result."},
		{&m.platform, "platform_calls", "Calls of the platform's object API, by call and result."},
	}
	for _, c := range counters {
		var err error
		if *c.into, err = m.meter.Int64Counter(c.name, metric.WithDescription(c.meaning)); err != nil {
			return fmt.Errorf("meter: define %s: %w", c.name, err)
		}
	}
	histograms := []struct {
		into          *metric.Float64Histogram
		name, meaning string
	}{
		{&m.firstToken, "first_token", "Time from a request's arrival to the first token of its streamed answer."},
		{&m.wait, "queue_wait", "Time that a request waited for a place in a replica."},
	}
	for _, h := range histograms {
		var err error
		*h.into, err = m.meter.Float64Histogram(h.name, metric.WithDescription(h.meaning), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(_seconds...))
		if err != nil {
			return fmt.Errorf("meter: define %s: %w", h.name, err)
		}
	}
	return nil
}

// RegisterGauge measures what read returns whenever the metrics are asked for.
func (m *Meter) RegisterGauge(name, meaning string, read func() int64) error {
	if m == nil || m.meter == nil {
		return nil
	}
	observe := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
	if _, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(meaning), metric.WithInt64Callback(observe)); err != nil {
		return fmt.Errorf("meter: define %s: %w", name, err)
	}
	return nil
}

// Handler serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRequest counts a request that ended with an outcome; an empty organisation is
// shown as "none".
func (m *Meter) CountRequest(organisation, outcome string) {
	if m.requests != nil {
		m.requests.Add(context.Background(), 1, labels("organisation", orNone(organisation), "outcome", outcome))
	}
}

// CountRefusal counts a refusal.
func (m *Meter) CountRefusal(code string) {
	if m.refusals != nil {
		m.refusals.Add(context.Background(), 1, labels("code", code))
	}
}

// ObserveFirstToken measures the time to the first token of a streamed answer.
func (m *Meter) ObserveFirstToken(organisation string, after time.Duration) {
	if m.firstToken != nil {
		m.firstToken.Record(context.Background(), after.Seconds(), labels("organisation", orNone(organisation)))
	}
}

// ObserveQueueWait measures a wait for a place in a replica.
func (m *Meter) ObserveQueueWait(d time.Duration) {
	if m.wait != nil {
		m.wait.Record(context.Background(), d.Seconds())
	}
}

// CountProbe counts a probe.
func (m *Meter) CountProbe(answered bool) {
	if m.probes != nil {
		m.probes.Add(context.Background(), 1, labels("result", result(answered)))
	}
}

// CountPlatformCall counts a call of the platform.
func (m *Meter) CountPlatformCall(call string, answered bool) {
	if m.platform != nil {
		m.platform.Add(context.Background(), 1, labels("call", call, "result", result(answered)))
	}
}

func result(answered bool) string {
	if answered {
		return "ok"
	}
	return "error"
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// labels returns the attributes of pairs of name and value.
func labels(pairs ...string) metric.MeasurementOption {
	list := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		list = append(list, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(list...)
}
