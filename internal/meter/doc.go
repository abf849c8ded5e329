// Package meter counts and times the work of a process, and serves OpenTelemetry metrics in
// the Prometheus format under /metrics and the health of the process under /healthz and
// /readyz.
package meter
