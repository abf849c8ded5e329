package meter

import (
	"io"
	"net/http"
	"sync"
)

// Health says whether a process is ready for work. The zero value is not ready
// since it has not started. It is safe for concurrent use.
type Health struct {
	// HasConfiguration says that a configuration is in force; nil means always. Set it
	// before use.
	HasConfiguration func() bool
	// ReadyPath is a second path of /readyz; it may be empty. Set it before use.
	ReadyPath string

	mu      sync.Mutex
	started bool
	leaving bool
	broken  string
}

// MarkStarted says that every service of the process runs.
func (h *Health) MarkStarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = true
}

// MarkShuttingDown says that the process shuts down.
func (h *Health) MarkShuttingDown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// MarkServiceEnded says that a service ended although the process goes on.
func (h *Health) MarkServiceEnded(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = service
}

// NotReadyReason returns why the process is not ready, empty where it is.
func (h *Health) NotReadyReason() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.leaving:
		return "shutting down"
	case !h.started:
		return "starting"
	case h.broken != "":
		return "service " + h.broken + " ended"
	case h.HasConfiguration != nil && !h.HasConfiguration():
		return "no configuration is in force yet"
	default:
		return ""
	}
}

// Handler serves /healthz, /readyz and, from m, /metrics.
func (h *Health) Handler(m *Meter) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	ready := func(w http.ResponseWriter, _ *http.Request) {
		if fault := h.NotReadyReason(); fault != "" {
			http.Error(w, "not ready: "+fault, http.StatusServiceUnavailable)
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
