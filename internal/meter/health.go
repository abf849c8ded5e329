package meter

import (
	"io"
	"net/http"
	"sync"
)

// Health reports whether a process is ready for work. The zero value is not ready, since
// the process has not started yet. It is safe for concurrent use.
type Health struct {
	// HasConfiguration reports whether a configuration is in force; nil means always. Set
	// it before use.
	HasConfiguration func() bool
	// ReadyPath is a second path that serves the same as /readyz; it may be empty. Set it
	// before use.
	ReadyPath string

	mu           sync.Mutex
	started      bool
	shuttingDown bool
	endedService string
}

// MarkStarted records that every service of the process is running.
func (h *Health) MarkStarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = true
}

// MarkShuttingDown records that the process is shutting down. It stays not ready from then
// on.
func (h *Health) MarkShuttingDown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shuttingDown = true
}

// MarkServiceEnded records that a service of the process has ended before the process
// itself. It makes the process not ready.
func (h *Health) MarkServiceEnded(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endedService = service
}

// NotReadyReason returns why the process is not ready, or an empty string if it is ready.
func (h *Health) NotReadyReason() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.shuttingDown:
		return "shutting down"
	case !h.started:
		return "starting"
	case h.endedService != "":
		return "service " + h.endedService + " ended"
	case h.HasConfiguration != nil && !h.HasConfiguration():
		return "no configuration is in force yet"
	default:
		return ""
	}
}

// Handler returns a handler that serves /healthz, /readyz, ReadyPath and, from m, /metrics.
func (h *Health) Handler(m *Meter) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	ready := func(w http.ResponseWriter, _ *http.Request) {
		if reason := h.NotReadyReason(); reason != "" {
			http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	}
	mux.HandleFunc("GET /readyz", ready)
	if h.ReadyPath != "" {
		mux.HandleFunc("GET "+h.ReadyPath, ready)
	}
	return mux
}
