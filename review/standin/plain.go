//go:build review

package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainServer is a sound server of the service "dispatch".
type plainServer struct {
	id      string
	address string
	world   *world
	work    time.Duration
	server  *http.Server
	// slots holds one value for each request that runs.
	slots chan struct{}
	end   context.CancelFunc
	// write writes the server's entry in the store.
	write func()

	mu sync.Mutex
	// leaving says that the server leaves, and so says in all its answers.
	leaving bool
	state   string
	beats   int
	running int
	// runs has the time of each request that has begun to run, by its id.
	runs map[string]time.Time
	// arrived has the time at which each request has reached the server.
	arrived map[string]time.Time
}

const (
	serverSlots = 6
	serverQueue = 24
	beat        = 1200 * time.Millisecond
)

// newPlainServer starts a server and writes its entry in the store each beat.
func newPlainServer(w *world, id, zone string, work time.Duration) (*plainServer, error) {
	l, err := net.Listen("tcp", w.host+":0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{id: id, address: l.Addr().String(), world: w, work: work, slots: make(chan struct{}, serverSlots), state: "ready", runs: make(map[string]time.Time), arrived: make(map[string]time.Time)}
	w.plain = append(w.plain, s)
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.end = cancel
	born := time.Now().UnixMilli()
	s.write = func() {
		s.mu.Lock()
		s.beats++
		entry := map[string]any{"service": "dispatch", "address": s.address, "zone": zone, "version": "v1", "slots": serverSlots, "state": s.state, "coldRemainingMs": 0, "sequence": s.beats, "born": born}
		s.mu.Unlock()
		w.store.Put("servers", id, entry)
	}
	s.write()
	go func() {
		t := time.NewTicker(beat)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				s.write()
			}
		}
	}()
	return s, nil
}

// leave makes the server report in the store that it is draining, and say so in all its
// answers.
func (s *plainServer) leave() {
	s.mu.Lock()
	s.leaving, s.state = true, "draining"
	s.mu.Unlock()
	s.write()
}

// exit ends the server: its port has no listener, and its connections are closed.
func (s *plainServer) exit() {
	s.end()
	s.world.store.Put("servers", s.id, nil)
	_ = s.server.Close()
}

// ServeHTTP answers one request.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	s.mu.Lock()
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		s.mu.Unlock()
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.arrived[id] = time.Now()
	if s.running >= serverSlots+serverQueue {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id] = time.Now()
	s.mu.Unlock()
	s.world.record.add("%s runs %s", s.id, id)
	time.Sleep(s.work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	w.Header().Set("Server-Seal", "3e1b."+s.id)
	_, _ = io.WriteString(w, "done "+id)
}

// ranAt returns when a request began to run, and whether it did.
func (s *plainServer) ranAt(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.runs[id]
	return at, ok
}

// arrivals returns a copy of the times at which requests reached the server.
func (s *plainServer) arrivals() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]time.Time, len(s.arrived))
	for id, at := range s.arrived {
		out[id] = at
	}
	return out
}
