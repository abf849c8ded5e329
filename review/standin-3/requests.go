//go:build review3

package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// missing returns the first member of a head's list that is not in the group now, or "".
func (e *engine) missing() string {
	for _, id := range e.group.members {
		m := e.fleet.engines[id]
		if m == nil || m.dead || m.group == nil || m.group.name != e.group.name || m.group.epoch != e.group.epoch || m.group.state == "joining" {
			return id
		}
	}
	return ""
}

// requestState returns "serves", "stalls" or "refuses" and the server at fault. The caller holds
// the mutex.
func (e *engine) requestState() (string, string) {
	if e.group == nil || e.group.rank != 0 || e.group.state != "open" {
		return "refuses", ""
	}
	m := e.missing()
	if m == "" {
		e.incompleteSince = time.Time{}
		return "serves", ""
	}
	if e.incompleteSince.IsZero() {
		e.incompleteSince = time.Now()
	}
	if time.Since(e.incompleteSince) < stallTime {
		return "stalls", m
	}
	e.group.state = "broken"
	e.writeEntry()
	return "refuses", m
}

// await waits until the group serves.
func (e *engine) await(ctx context.Context) (bool, string) {
	for {
		e.fleet.mu.Lock()
		dead := e.dead
		state, fault := e.requestState()
		e.fleet.mu.Unlock()
		switch {
		case dead || ctx.Err() != nil:
			panic(http.ErrAbortHandler)
		case state == "serves":
			return true, ""
		case state == "refuses":
			return false, fault
		}
		time.Sleep(eventTime)
	}
}

// checkPartial checks rule PARTIAL as a request begins to run. The caller holds the mutex.
func (e *engine) checkPartial(id string) {
	g := e.group
	if len(g.members) != models[e.model].size {
		e.fleet.violate("PARTIAL: %s begins to run in %s epoch %d, which has %d members", id, g.name, g.epoch, len(g.members))
	}
	for _, m := range g.members {
		if !e.fleet.everReady[g.key()][m] {
			e.fleet.violate("PARTIAL: %s begins to run in %s epoch %d, of which %s has never been ready", id, g.name, g.epoch, m)
		}
	}
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	f, id := e.fleet, r.Header.Get("Attempt-Id")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	w.Header().Set("Attempt-Id", id)
	ok, fault := e.await(ctx)
	f.mu.Lock()
	if ok && (e.group == nil || r.Header.Get("Model") != e.model) {
		ok = false
	}
	if !ok {
		f.mu.Unlock()
		if fault != "" {
			w.Header().Set("At-Server", fault)
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	inTrouble := f.trouble != troubleNone && e.isInTrouble()
	if inTrouble && f.trouble != troubleEvents {
		f.mu.Unlock()
		f.sendWithoutEnd(ctx, w, id)
		return
	}
	f.traffic = true
	f.runs[id]++
	e.checkPartial(id)
	n := e.nextRun
	e.nextRun++
	e.running[n] = cancel
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(e.running, n)
		e.endClosing()
		f.mu.Unlock()
	}()
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, tokens, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	last, _ := strconv.Atoi(tokens)
	last /= 6
	w.Header().Set("Server-Seal", "seal-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= last; i++ {
		time.Sleep(eventTime)
		if ok, _ := e.await(ctx); !ok {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if inTrouble && i == from+eventsBeforeTrouble {
			e.fleet.sendNoEvents(ctx, w)
		}
	}
}

// openGroups returns how many groups serve.
func (f *fleet) openGroups() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if !e.dead && e.group != nil && e.group.rank == 0 && e.group.state == "open" && e.missing() == "" {
			n++
		}
	}
	return n
}
