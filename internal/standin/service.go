package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the faults that a Service injects. The zero value means none.
type ServiceFaults struct {
	// LoseResponse runs each call and then closes the connection without an answer.
	LoseResponse bool `json:"lose_answer"`
	// RejectCalls answers each call with 503 and "Lb-Outcome: not-run" and does not run it.
	RejectCalls bool `json:"refuse"`
	// CutBeforeRun closes the connection of each call and does not run it.
	CutBeforeRun bool `json:"cut_before_run"`
	// DelayMS is how long a run takes, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Leaving makes /status report that the upstream is leaving.
	Leaving bool `json:"leaving"`
}

// Service is an upstream of a plain service whose calls must not be repeated: it
// counts the runs of each Idempotency-Key. The zero value is ready for use. It is safe
// for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
}

// SetFaults replaces the faults that the service injects.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCounts returns how often a call ran, by idempotency key.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// ServeHTTP runs a call, for any path but these: /fault sets the faults, /runs returns
// the counts of RunCounts, and /status returns whether the upstream is leaving.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	switch r.URL.Path {
	case "/fault":
		// Decoding into a new value turns off each fault that the body leaves out.
		var next ServiceFaults
		if decodeJSON(w, r, &next) {
			s.SetFaults(next)
		}
		return
	case "/runs":
		writeJSON(w, s.RunCounts())
		return
	case "/status":
		writeJSON(w, map[string]any{"leaving": f.Leaving})
		return
	}
	s.run(w, r, f)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, f ServiceFaults) {
	if f.RejectCalls {
		w.Header().Set("Lb-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.CutBeforeRun {
		panic(http.ErrAbortHandler)
	}
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[key]++
	run := s.runs[key]
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"receipt": fmt.Sprintf("R-%s", key), "run": run, "bytes": len(body)})
}
