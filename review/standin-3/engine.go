//go:build review3

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

// model is a model of the configuration, as PROTOCOL.md describes it.
type model struct {
	size        int
	load, warm  time.Duration
	share, pace float64
}

var models = map[string]model{
	"large": {size: 6, load: 16 * time.Second, warm: 1600 * time.Millisecond, share: 0.67, pace: 1},
	"small": {size: 3, load: 12 * time.Second, warm: 1100 * time.Millisecond, share: 0.33, pace: 0.6},
}

const (
	heartbeat = 1200 * time.Millisecond
	formTime  = 300 * time.Millisecond
	stallTime = 6 * time.Second
	eventTime = 45 * time.Millisecond
)

// membership is the group of an engine. members is the list of the join, the head first.
type membership struct {
	name    string
	epoch   uint64
	rank    int
	state   string
	members []string
}

// groupKey is a group by name, epoch and list.
func (m *membership) key() string {
	return fmt.Sprintf("%s/%d/%s", m.name, m.epoch, strings.Join(m.members, ","))
}

// engine is a model server that follows PROTOCOL.md. The mutex of its fleet guards it.
type engine struct {
	fleet            *fleet
	id, zone, domain string
	address          string
	server           *http.Server
	born             int64
	dead, leaving    bool
	group            *membership
	model, lastModel string
	staged           string
	staging          string
	highestEpoch     uint64
	sequence         uint64
	running          map[int]context.CancelFunc
	nextRun          int
	incompleteSince  time.Time
}

// fleet is all engines of the service.
type fleet struct {
	mu      sync.Mutex
	store   *stub.Store
	record  *record
	engines map[string]*engine
	traffic bool
	// trouble is what troubleTenths in 10 engines do in place of a response.
	trouble       trouble
	troubleTenths int
	// troubleModel limits the trouble to the heads of a model's groups; empty if it does not.
	troubleModel string
	slots        int
	everReady    map[string]map[string]bool // members that have been ready, by group key
	runs         map[string]int
	violations   []string
}

func newFleet(s *stub.Store, r *record) *fleet {
	return &fleet{store: s, record: r, engines: make(map[string]*engine), everReady: make(map[string]map[string]bool), runs: make(map[string]int), trouble: troubleNone}
}

// add starts an engine. staged is the model on its host, or empty.
func (f *fleet) add(id, zone, domain string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{fleet: f, id: id, zone: zone, domain: domain, address: l.Addr().String(), born: time.Now().UnixMilli(), running: make(map[int]context.CancelFunc)}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	f.mu.Lock()
	f.engines[id] = e
	e.writeEntry()
	f.mu.Unlock()
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for {
			time.Sleep(heartbeat)
			f.mu.Lock()
			if e.dead {
				f.mu.Unlock()
				return
			}
			e.writeEntry()
			f.mu.Unlock()
		}
	}()
	return nil
}

func (e *engine) shared() map[string]any {
	list := []any{}
	if e.model != "" {
		list = append(list, map[string]any{"name": e.model, "version": 1, "adapters": []string{}})
	}
	out := map[string]any{"born": e.born, "models": list, "domain": e.domain, "staged": []string{}}
	if e.staged != "" {
		out["staged"] = []string{e.staged}
	}
	if g := e.group; g != nil {
		out["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": g.state}
	} else {
		out["group"] = nil
	}
	return out
}

// writeEntry writes the engine's entry. The caller holds the mutex.
func (e *engine) writeEntry() {
	if e.dead {
		return
	}
	x := e.shared()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	x["service"], x["address"], x["zone"], x["version"], x["slots"], x["state"], x["coldRemainingMs"], x["sequence"] = "engines", e.address, e.zone, 1, e.fleet.slots, state, 0, 1
	e.fleet.store.Put("servers", e.id, x)
}

// after changes the engine after d unless it has ended.
func (e *engine) after(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if !e.dead {
			change()
			e.writeEntry()
		}
	})
}
