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

// _scope is the name of the instrumentation scope, and the prefix of the metric names.
const _scope = "lycheebarrow"

// _bucketBounds are the upper bounds of the histogram buckets, in seconds.
var _bucketBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30}

// Meter records the metrics of one process. The zero value discards all measurements; New
// returns a Meter that records them. It is safe for concurrent use.
type Meter struct {
	registry *prometheus.Registry
	meter    metric.Meter

	requests      metric.Int64Counter
	refusals      metric.Int64Counter
	invalidWaits  metric.Int64Counter
	invalidLimits metric.Int64Counter
	probes        metric.Int64Counter
	platformCalls metric.Int64Counter
	firstToken    metric.Float64Histogram
	queueWait     metric.Float64Histogram
}

// New returns a Meter that records metrics in a registry of its own.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithNamespace(_scope), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("meter: create the exporter: %w", err)
	}
	m := &Meter{registry: registry, meter: sdk.NewMeterProvider(sdk.WithReader(reader)).Meter(_scope)}
	return m, m.defineInstruments()
}

// defineInstruments creates the counters and histograms.
func (m *Meter) defineInstruments() error {
	counters := []struct {
		target            *metric.Int64Counter
		name, description string
	}{
		{&m.requests, "requests", "Requests of callers that ended, by organisation and outcome."},
		{&m.refusals, "refusals", "Requests refused, by code."},
		{&m.invalidWaits, "invalid_waits", "Responses of upstreams with a Retry-After that can't be read."},
		{&m.invalidLimits, "invalid_limits", "Responses of upstreams that state a limit that can't be read."},
		{&m.probes, "probes", "Probes of instances, by result."},
		{&m.platformCalls, "platform_calls", "Calls of the platform's object API, by call and result."},
	}
	for _, c := range counters {
		var err error
		if *c.target, err = m.meter.Int64Counter(c.name, metric.WithDescription(c.description)); err != nil {
			return fmt.Errorf("meter: define %s: %w", c.name, err)
		}
	}
	histograms := []struct {
		target            *metric.Float64Histogram
		name, description string
	}{
		{&m.firstToken, "first_token", "Time from a request's arrival to the first token of its streamed answer."},
		{&m.queueWait, "queue_wait", "Time that a request waited for a place in a replica."},
	}
	for _, h := range histograms {
		var err error
		*h.target, err = m.meter.Float64Histogram(h.name, metric.WithDescription(h.description), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(_bucketBounds...))
		if err != nil {
			return fmt.Errorf("meter: define %s: %w", h.name, err)
		}
	}
	return nil
}

// RegisterGauge defines a gauge whose value is that of read whenever the metrics are
// scraped.
func (m *Meter) RegisterGauge(name, description string, read func() int64) error {
	if m == nil || m.meter == nil {
		return nil
	}
	observe := func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
	if _, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithInt64Callback(observe)); err != nil {
		return fmt.Errorf("meter: define %s: %w", name, err)
	}
	return nil
}

// Handler returns a handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRequest counts a request that ended, by its outcome. An empty organisation counts as
// "none".
func (m *Meter) CountRequest(organisation, outcome string) {
	if m.requests != nil {
		m.requests.Add(context.Background(), 1, labels("organisation", orNone(organisation), "outcome", outcome))
	}
}

// CountRefusal counts a refused request, by the code of the refusal.
func (m *Meter) CountRefusal(code string) {
	if m.refusals != nil {
		m.refusals.Add(context.Background(), 1, labels("code", code))
	}
}

// CountInvalidWait counts a response of an upstream that asks to wait for a time that can't
// be read.
func (m *Meter) CountInvalidWait() {
	if m.invalidWaits != nil {
		m.invalidWaits.Add(context.Background(), 1)
	}
}

// CountInvalidLimit counts a response of an upstream that states a limit that can't be read.
func (m *Meter) CountInvalidLimit() {
	if m.invalidLimits != nil {
		m.invalidLimits.Add(context.Background(), 1)
	}
}

// ObserveFirstToken records the time from a request's arrival to the first token of its
// streamed answer.
func (m *Meter) ObserveFirstToken(organisation string, delay time.Duration) {
	if m.firstToken != nil {
		m.firstToken.Record(context.Background(), delay.Seconds(), labels("organisation", orNone(organisation)))
	}
}

// ObserveQueueWait records the time that a request waited for a slot in a replica.
func (m *Meter) ObserveQueueWait(d time.Duration) {
	if m.queueWait != nil {
		m.queueWait.Record(context.Background(), d.Seconds())
	}
}

// CountProbe counts a probe of an instance by its result. answered is false if the probe
// failed.
func (m *Meter) CountProbe(answered bool) {
	if m.probes != nil {
		m.probes.Add(context.Background(), 1, labels("result", result(answered)))
	}
}

// CountPlatformCall counts a call to the platform, by the name of the call and its result.
// answered is false if the call failed.
func (m *Meter) CountPlatformCall(call string, answered bool) {
	if m.platformCalls != nil {
		m.platformCalls.Add(context.Background(), 1, labels("call", call, "result", result(answered)))
	}
}

// result returns the value of the label result.
func result(answered bool) string {
	if answered {
		return "ok"
	}
	return "error"
}

// orNone returns text, or "none" if text is empty.
func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// labels returns the attributes given as alternating names and values.
func labels(pairs ...string) metric.MeasurementOption {
	list := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		list = append(list, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(list...)
}
