//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

// engines are the model servers of the service "drafter": the project's own stand-ins, each
// behind a listener that has no port while its engine is down after a crash, as that of a
// process that has ended.
type engines struct {
	world   *world
	cluster *stub.EngineCluster
	part    string
}

func newEngines(w *world, domains map[string]string, perDomain int) (*engines, error) {
	e := &engines{world: w, cluster: &stub.EngineCluster{
		Store: w.store, Service: "drafter", EventInterval: 30 * time.Millisecond,
		Models: map[string]stub.Model{
			"small": {GroupSize: 3, LoadTime: 1200 * time.Millisecond, WarmUpTime: 1100 * time.Millisecond},
		},
	}}
	n := 0
	for domain, zone := range domains {
		for range perDomain {
			id := fmt.Sprintf("e%02d", n)
			n++
			address, err := w.freeAddress("tcp")
			if err != nil {
				return nil, err
			}
			e.cluster.AddEngine(id, address, zone, domain)
			x := &engine{all: e, id: id, address: address, handler: e.cluster.Handler(id)}
			if err := x.listen(); err != nil {
				return nil, err
			}
		}
	}
	return e, nil
}

// crashUnder makes each engine crash that begins to write an answer on a prompt with the
// part.
func (e *engines) crashUnder(part string) { e.part, e.cluster.DeadlyPart = part, part }

// engine is one model server.
type engine struct {
	all         *engines
	id, address string
	handler     http.Handler

	mu     sync.Mutex
	server *http.Server
}

func (x *engine) listen() error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: x}
	x.mu.Lock()
	x.server = s
	x.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// ServeHTTP passes a request to the stand-in. If that crashes under the request, the
// listener and all connections close until the engine is back.
func (x *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Attempt-Id"); id != "" {
		x.all.world.record.add("%s receives %s, prompt %s", x.id, id, r.Header.Get("Prompt-Prefix"))
	}
	before := x.all.cluster.Crashes()
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if x.all.part != "" && x.all.cluster.Crashes() > before && hasPart(r, x.all.part) {
			x.crash()
		}
		panic(p)
	}()
	x.handler.ServeHTTP(w, r)
}

func (x *engine) crash() {
	x.all.world.record.add("%s has crashed", x.id)
	x.mu.Lock()
	s := x.server
	x.mu.Unlock()
	_ = s.Close()
	time.AfterFunc(stub.CrashTime, func() {
		x.all.world.record.add("%s is back: %v", x.id, x.listen())
	})
}
