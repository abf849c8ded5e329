//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Mode      string   `json:"mode"`
	Expect    *uint64  `json:"expect"`
}

// ServeHTTP serves reports, orders and requests.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := e.fleet
	switch r.URL.Path {
	case "/-/report":
		f.mu.Lock()
		x := e.shared()
		x["stage"], x["busy"], x["sequence"], x["waiting"], x["running"], x["kvUsed"], x["kvTotal"], x["handles"], x["pace"] = "both", e.staging != "", e.sequence, 0, len(e.running), 0, 2470000, 0, 1.0
		f.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(x)
	case "/-/order":
		var o order
		if json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		f.mu.Lock()
		status := e.execute(o)
		f.record.printf("order %s to %s: %s epoch %d (term %d, number %d) members %v: status %d", o.Operation, e.id, o.Group, o.Epoch, o.Epoch>>20, o.Epoch&(1<<20-1), o.Members, status)
		f.mu.Unlock()
		w.WriteHeader(status)
	default:
		e.serveRequest(w, r)
	}
}

// execute carries out an order. The caller holds the mutex.
func (e *engine) execute(o order) int {
	if o.Expect != nil && *o.Expect != e.sequence {
		return http.StatusConflict
	}
	isMember := e.group != nil && e.group.name == o.Group && e.group.epoch == o.Epoch
	isHead := isMember && e.group.rank == 0
	switch {
	case o.Operation == "stage":
		e.staging = o.Model
		e.after(e.loadTime(o.Model), func() { e.staged, e.staging = o.Model, "" })
	case o.Operation == "join":
		if o.Epoch < e.highestEpoch || isMember && !slices.Equal(o.Members, e.group.members) {
			return http.StatusPreconditionFailed
		}
		if isMember {
			return http.StatusOK
		}
		e.join(o)
	case o.Operation == "open" && isHead && e.group.state == "ready":
		g := e.group
		e.after(formTime, func() {
			if e.group == g && g.state == "ready" {
				g.state = "open"
				e.incompleteSince = time.Time{}
			}
		})
	case o.Operation == "open" && isHead && e.group.state == "open":
		return http.StatusOK
	case o.Operation == "close" && isHead && (e.group.state == "open" || e.group.state == "closing"):
		e.group.state = "closing"
		if o.Mode == "evict" {
			for _, cancel := range e.running {
				cancel()
			}
			e.group.state = "ready"
		}
		e.endClosing()
	case o.Operation == "close" && isHead && e.group.state == "broken":
		e.group.state = "ready"
	case o.Operation == "leave" && isMember:
		e.group = nil
	default:
		return http.StatusConflict
	}
	e.sequence++
	e.writeEntry()
	return http.StatusAccepted
}

// endClosing ends a close once no request runs. The caller holds the mutex.
func (e *engine) endClosing() {
	if e.group != nil && e.group.state == "closing" && len(e.running) == 0 {
		e.group.state = "ready"
	}
}

func (e *engine) loadTime(name string) time.Duration {
	d := models[name].load
	if !e.fleet.traffic {
		d /= 10
	}
	return d
}

// join checks rule TWO and begins to join a group. The caller holds the mutex.
func (e *engine) join(o order) {
	f := e.fleet
	if g := e.group; g != nil && g.rank != 0 {
		h := f.engines[g.members[0]]
		if h != nil && !h.dead && h.group != nil && h.group.key() == g.key() && (h.group.state == "open" || h.group.state == "closing") {
			f.violate("TWO: %s takes a join of %s epoch %d while %s, the head of its group %s epoch %d, is %s", e.id, o.Group, o.Epoch, h.id, g.name, g.epoch, h.group.state)
		}
	} else if g != nil && (g.state == "open" || g.state == "closing") {
		f.violate("TWO: %s takes a join of %s epoch %d while it is the head of %s epoch %d, which is %s", e.id, o.Group, o.Epoch, g.name, g.epoch, g.state)
	}
	m := models[o.Model]
	d := e.loadTime(o.Model)
	switch {
	case e.lastModel == o.Model:
		d = 200 * time.Millisecond
	case e.staged == o.Model:
		d = m.warm
	}
	g := &membership{name: o.Group, epoch: o.Epoch, rank: slices.Index(o.Members, e.id), state: "joining", members: o.Members}
	e.group, e.highestEpoch, e.lastModel, e.model = g, o.Epoch, o.Model, ""
	e.after(d, func() {
		if e.group == g && g.state == "joining" {
			g.state, e.model, e.staged = "ready", o.Model, o.Model
			if f.everReady[g.key()] == nil {
				f.everReady[g.key()] = make(map[string]bool)
			}
			f.everReady[g.key()][e.id] = true
		}
	})
}

func (f *fleet) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.violations = append(f.violations, text)
	f.record.printf("BROKEN %s", text)
}
