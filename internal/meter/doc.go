// Package meter measures a process: OpenTelemetry metrics in the Prometheus
// format under /metrics, and its health under /healthz and /readyz.
package meter
