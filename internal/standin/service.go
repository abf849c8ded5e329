package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the switches of a Service.
type ServiceFaults struct {
	// LoseAnswer runs the call and then cuts the connection.
	LoseAnswer bool `json:"lose_answer"`
	// RejectCalls answers 503 with "Lb-Outcome: not-run" before running.
	RejectCalls bool `json:"refuse"`
	// CutBeforeRun cuts the connection before running.
	CutBeforeRun bool `json:"cut_before_run"`
	// DelayMS is how long a run takes.
	DelayMS int `json:"delay_ms"`
	// Leaving is reported by /status.
	Leaving bool `json:"leaving"`
}

// Service is a plain service whose calls may not be repeated: it counts the
// runs of each Idempotency-Key. The zero value is ready for use.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
}

// SetFaults switches faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCounts returns how often each key ran.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// ServeHTTP runs calls; GET /runs shows the counts.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	switch r.URL.Path {
	case "/fault":
		// All switches are set anew, as those of the other stand-ins.
		var next ServiceFaults
		if decode(w, r, &next) {
			s.SetFaults(next)
		}
		return
	case "/runs":
		answer(w, s.RunCounts())
		return
	case "/status":
		answer(w, map[string]any{"leaving": f.Leaving})
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
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	answer(w, map[string]any{"receipt": fmt.Sprintf("R-%s", key), "run": run, "bytes": len(body)})
}
