package session_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/memorynet"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// worldKey is where a script keeps its world.
type worldKey struct{}

const (
	_platformIP   = "10.0.0.1"
	_platform     = _platformIP + ":9000"
	_operator     = "operator-token"
	_engineLoad   = time.Second
	_engineToken  = 20 * time.Millisecond
	_callersPort  = ":8000"
	_operatorPort = ":8100"
	_enginePort   = ":9100"
	_peerPort     = ":8200"
)

// host is a thing with an address.
type host struct {
	ip         string
	dataCentre string
	handler    http.Handler // nil for a process
	app        *fx.App
	output     *lines
	start      func() error
}

// lines gathers the log of a process.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// world is everything that a session runs.
type world struct {
	network  memorynet.Network
	platform *standin.Platform
	hosts    map[string]*host
	names    []string
	calls    map[string]chan string
	client   *http.Client
	group    sync.WaitGroup
}

func newWorld() *world {
	w := &world{platform: standin.NewPlatform(), hosts: make(map[string]*host), calls: make(map[string]chan string)}
	outside := w.network.Host("10.9.9.9", time.Millisecond)
	w.client = &http.Client{Transport: &http.Transport{DialContext: outside.DialContext, DisableKeepAlives: true}}
	w.add("platform", &host{ip: _platformIP, handler: w.platform})
	w.serve("platform", ":9000")
	return w
}

func (w *world) add(name string, h *host) *host {
	w.hosts[name] = h
	w.names = append(w.names, name)
	return h
}

// next returns an IP number for a kind of host, and the host's network. Each
// host has its own latency, so that events don't coincide.
func (w *world) next(kind int) (string, *memorynet.Host) {
	ip := fmt.Sprintf("10.0.%d.%d", kind, len(w.names)+1)
	return ip, w.network.Host(ip, 300*time.Microsecond+time.Duration(len(w.names))*7*time.Microsecond)
}

// serve serves a stand-in on its host.
func (w *world) serve(name, port string) {
	h := w.hosts[name]
	l, err := w.network.Host(h.ip, 300*time.Microsecond).Listen("tcp", h.ip+port)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h.handler, ReadHeaderTimeout: time.Minute}
	w.group.Go(func() { _ = s.Serve(l) })
}

func (w *world) engine(name, dataCentre, domain string, fencing bool) {
	ip, network := w.next(1)
	e := standin.NewEngine(standin.EngineOptions{
		Name: name, ChecksFencing: fencing, LoadTime: _engineLoad, TokenTime: _engineToken, Network: network,
	})
	w.add(name, &host{ip: ip, dataCentre: dataCentre, handler: e})
	w.serve(name, _enginePort)
	w.platform.SetInstance(storer.Instance{
		Name: name, Address: ip + _enginePort, DataCentre: dataCentre, Domain: domain, Kind: "engine", ChecksFencing: fencing,
	})
}

func (w *world) service(name, dataCentre string) {
	ip, _ := w.next(4)
	w.add(name, &host{ip: ip, dataCentre: dataCentre, handler: &standin.Service{}})
	w.serve(name, _enginePort)
	w.platform.SetInstance(storer.Instance{Name: name, Address: ip + _enginePort, DataCentre: dataCentre, Kind: "service"})
}

// process starts an entry or a placer.
func (w *world) process(role loader.Role, name, dataCentre string) error {
	ip, network := w.next(2)
	h := w.add(name, &host{ip: ip, dataCentre: dataCentre, output: &lines{}})
	h.start = func() error {
		s, err := loader.Load(role, w.settings(role, name, dataCentre, ip), h.output)
		if err != nil {
			return err
		}
		build := composer.NewEntry
		if role == loader.RolePlacer {
			build = composer.NewPlacer
		}
		h.app = build(s, network, h.output)
		return h.app.Start(context.Background())
	}
	return h.start()
}

func (w *world) settings(role loader.Role, name, dataCentre, ip string) []string {
	args := []string{
		"-name", name, "-data-centre", dataCentre, "-platform", "http://" + _platform,
		"-peer-secret", "a secret of the session", "-operator-tokens", "ann:" + authenticator.Digest(_operator),
		"-peer-listen", ip + _peerPort, "-operator-listen", ip + _operatorPort, "-metrics-listen", ip + ":8300",
	}
	var seeds []string
	for _, n := range w.names {
		if h := w.hosts[n]; h.start != nil && n != name {
			seeds = append(seeds, h.ip+_peerPort)
		}
	}
	args = append(args, "-peer-seeds", strings.Join(seeds, ","))
	if role == loader.RoleEntry {
		args = append(args, "-callers-listen", ip+_callersPort)
	}
	return args
}

// kill ends a host at once: its connections are reset and nothing of it runs.
func (w *world) kill(name string) {
	h := w.hosts[name]
	w.network.Kill(h.ip)
	if h.app != nil {
		_ = h.app.Stop(context.Background())
		h.app = nil
	}
}

// restart starts a killed host anew, without memory.
func (w *world) restart(name string) error {
	h := w.hosts[name]
	if h.start != nil {
		return h.start()
	}
	if e, ok := h.handler.(*standin.Engine); ok {
		e.Restart()
	}
	w.serve(name, _enginePort)
	return nil
}

func (w *world) close() {
	for _, n := range w.names {
		h := w.hosts[n]
		w.network.Release(h.ip, h.ip)
	}
	for _, n := range w.names {
		if h := w.hosts[n]; h.app != nil {
			w.network.Kill(h.ip)
			_ = h.app.Stop(context.Background())
		}
	}
	for _, n := range w.names {
		w.network.Kill(w.hosts[n].ip)
	}
	w.network.Kill("10.9.9.9")
	w.group.Wait()
	// Dials that were under way end by themselves before the bubble does.
	time.Sleep(time.Minute)
}

// events returns the log lines of a process with one of the events, reduced to
// the fields that a session fixes.
func (h *host) events(names ...string) string {
	var out strings.Builder
	for line := range strings.Lines(h.output.String()) {
		f := parse(line)
		for _, n := range names {
			if f["event"] != n {
				continue
			}
			out.WriteString(n)
			for _, k := range _fields {
				if v, ok := f[k]; ok {
					fmt.Fprintf(&out, " %s=%s", k, v)
				}
			}
			out.WriteString("\n")
		}
	}
	return out.String()
}

// _fields are the fields that a session shows, in this order.
var _fields = []string{
	"action", "organisation", "service", "address", "code", "outcome", "model", "replica", "group", "generation", "members", "instance", "number", "term", "reason", "long",
}

// parse splits a key=value line.
func parse(line string) map[string]string {
	f := make(map[string]string)
	for len(line) > 0 {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			break
		}
		value := ""
		if strings.HasPrefix(rest, `"`) {
			value, rest, _ = strings.Cut(rest[1:], `"`)
			rest = strings.TrimPrefix(rest, " ")
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		f[strings.TrimSpace(key)] = strings.TrimSpace(value)
		line = rest
	}
	return f
}
