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

// deploymentKey is the key of the deployment in the values of a script.
type deploymentKey struct{}

const (
	_platformIP      = "10.0.0.1"
	_platformAddress = _platformIP + ":9000"
	_operatorToken   = "operator-token"
	_engineLoadTime  = time.Second
	_engineTokenTime = 20 * time.Millisecond
	_callersPort     = ":8000"
	_operatorPort    = ":8100"
	_enginePort      = ":9100"
	_peerPort        = ":8200"
)

// host is one process or stand-in, with an IP address of its own.
type host struct {
	ip         string
	dataCentre string
	handler    http.Handler // nil for an entry or placer
	app        *fx.App
	output     *logBuffer
	start      func() error // starts the entry or placer; nil for a stand-in
}

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// deployment holds everything that one session runs: the network, the platform and
// the other hosts, and the results of the requests sent so far.
type deployment struct {
	network    memorynet.Network
	platform   *standin.Platform
	hosts      map[string]*host
	hostNames  []string               // in the order of their first start
	results    map[string]chan string // by name of the request
	client     *http.Client
	goroutines sync.WaitGroup
	// drainLimit is the drain limit of the entries that are started; empty means none.
	drainLimit string
}

func newDeployment() *deployment {
	d := &deployment{platform: standin.NewPlatform(), hosts: make(map[string]*host), results: make(map[string]chan string)}
	outside := d.network.Host("10.9.9.9", time.Millisecond)
	d.client = &http.Client{Transport: &http.Transport{DialContext: outside.DialContext, DisableKeepAlives: true}}
	d.addHost("platform", &host{ip: _platformIP, handler: d.platform})
	d.serve("platform", ":9000")
	return d
}

func (d *deployment) addHost(name string, h *host) *host {
	d.hosts[name] = h
	d.hostNames = append(d.hostNames, name)
	return h
}

// newAddress returns an unused IP address in the subnet 10.0.subnet.0/24 and the
// network of the host at that address. Each host has a different latency, so that
// events on different hosts don't happen at the same instant.
func (d *deployment) newAddress(subnet int) (string, *memorynet.Host) {
	ip := fmt.Sprintf("10.0.%d.%d", subnet, len(d.hostNames)+1)
	return ip, d.network.Host(ip, 300*time.Microsecond+time.Duration(len(d.hostNames))*7*time.Microsecond)
}

// serve starts the HTTP server of a stand-in on its host.
func (d *deployment) serve(name, port string) {
	h := d.hosts[name]
	l, err := d.network.Host(h.ip, 300*time.Microsecond).Listen("tcp", h.ip+port)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h.handler, ReadHeaderTimeout: time.Minute}
	d.goroutines.Go(func() { _ = s.Serve(l) })
}

func (d *deployment) startEngine(name, dataCentre, domain string, fencing bool) {
	ip, network := d.newAddress(1)
	e := standin.NewEngine(standin.EngineOptions{
		Name: name, ChecksFencing: fencing, LoadTime: _engineLoadTime, TokenTime: _engineTokenTime, Network: network,
	})
	d.addHost(name, &host{ip: ip, dataCentre: dataCentre, handler: e})
	d.serve(name, _enginePort)
	d.platform.SetInstance(storer.Instance{
		Name: name, Address: ip + _enginePort, DataCentre: dataCentre, Domain: domain, Kind: "engine", ChecksFencing: fencing,
	})
}

func (d *deployment) startService(name, dataCentre string) {
	ip, _ := d.newAddress(4)
	d.addHost(name, &host{ip: ip, dataCentre: dataCentre, handler: &standin.Service{}})
	d.serve(name, _enginePort)
	d.platform.SetInstance(storer.Instance{Name: name, Address: ip + _enginePort, DataCentre: dataCentre, Kind: "service"})
}

// startProcess starts an entry or a placer.
func (d *deployment) startProcess(role loader.Role, name, dataCentre string) error {
	ip, network := d.newAddress(2)
	h := d.addHost(name, &host{ip: ip, dataCentre: dataCentre, output: &logBuffer{}})
	h.start = func() error {
		s, err := loader.Load(role, d.arguments(role, name, dataCentre, ip), h.output)
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

func (d *deployment) arguments(role loader.Role, name, dataCentre, ip string) []string {
	args := []string{
		"-name", name, "-data-centre", dataCentre, "-platform", "http://" + _platformAddress,
		"-peer-secret", "a secret of the session", "-operator-tokens", "ann:" + authenticator.Digest(_operatorToken),
		"-peer-listen", ip + _peerPort, "-operator-listen", ip + _operatorPort, "-metrics-listen", ip + ":8300",
	}
	var seeds []string
	for _, n := range d.hostNames {
		if h := d.hosts[n]; h.start != nil && n != name {
			seeds = append(seeds, h.ip+_peerPort)
		}
	}
	args = append(args, "-peer-seeds", strings.Join(seeds, ","))
	if role == loader.RoleEntry {
		args = append(args, "-callers-listen", ip+_callersPort)
		if d.drainLimit != "" {
			args = append(args, "-drain-limit", d.drainLimit)
		}
	}
	return args
}

// kill stops a host as a crash would: its listeners, connections and sockets are
// closed before its process is stopped.
func (d *deployment) kill(name string) {
	h := d.hosts[name]
	d.network.CloseHost(h.ip)
	if h.app != nil {
		_ = h.app.Stop(context.Background())
		h.app = nil
	}
}

// restart starts a killed host again, with none of its earlier state.
func (d *deployment) restart(name string) error {
	h := d.hosts[name]
	if h.start != nil {
		return h.start()
	}
	if e, ok := h.handler.(*standin.Engine); ok {
		e.Restart()
	}
	d.serve(name, _enginePort)
	return nil
}

func (d *deployment) close() {
	for _, n := range d.hostNames {
		h := d.hosts[n]
		d.network.Unblock(h.ip, h.ip)
	}
	for _, n := range d.hostNames {
		if h := d.hosts[n]; h.app != nil {
			d.network.CloseHost(h.ip)
			_ = h.app.Stop(context.Background())
		}
	}
	for _, n := range d.hostNames {
		d.network.CloseHost(d.hosts[n].ip)
	}
	d.network.CloseHost("10.9.9.9")
	d.goroutines.Wait()
	// Dials in progress need time to end: a synctest bubble fails if a goroutine is
	// left in it.
	time.Sleep(time.Minute)
}

// selectedEvents returns the log lines of a process whose event is one of names,
// reduced to the fields in _shownFields, which are the same in every run.
func (h *host) selectedEvents(names ...string) string {
	var out strings.Builder
	for line := range strings.Lines(h.output.String()) {
		f := parseFields(line)
		for _, n := range names {
			if f["event"] != n {
				continue
			}
			out.WriteString(n)
			for _, k := range _shownFields {
				if v, ok := f[k]; ok {
					fmt.Fprintf(&out, " %s=%s", k, v)
				}
			}
			out.WriteString("\n")
		}
	}
	return out.String()
}

// _shownFields are the log fields that a session script compares, in this order.
var _shownFields = []string{
	"action", "organisation", "service", "address", "code", "outcome", "model", "replica", "group", "generation", "members", "instance", "number", "term", "reason", "long",
}

// parseFields splits a log line of key=value pairs; a value may be quoted.
func parseFields(line string) map[string]string {
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
