//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

// world is a small deployment on loopback: the store, the machines and a temporary folder.
type world struct {
	trouble bool
	record  *record
	store   *stub.Store
	// storeAddress is where the store listens.
	storeAddress string
	dir          string
	host         string
	command      []string
	template     string

	mu       sync.Mutex
	machines []*machine
	plain    []*plainServer
}

// machine is one machine of the system with its one process.
type machine struct {
	name, zone      string
	callers, ready  string
	peers, settings string
	store           *cutter
	world           *world

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
	stopped bool
}

var (
	runLine     = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]*)"`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// open reads the deploy folder and starts the store.
func (w *world) open() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return errors.New("the deploy file has no run line")
	}
	w.command = strings.Fields(string(run[1]))
	text, err := os.ReadFile("deploy/instance.ini")
	if err != nil {
		return err
	}
	w.template = string(text)
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	// An address of its own, so that nothing else takes a port while a process restarts.
	id := os.Getpid()
	w.host = fmt.Sprintf("127.%d.%d.%d", 128+id>>16&0x7f, id>>8&0xff, max(id&0xff, 1))
	w.store = stub.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return nil
}

// freeAddress returns a free port at the world's own address.
func (w *world) freeAddress(network string) (string, error) {
	if network == "udp" {
		p, err := net.ListenPacket("udp", w.host+":0")
		if err != nil {
			return "", err
		}
		defer p.Close()
		return p.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", w.host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addMachine prepares a machine and starts its process.
func (w *world) addMachine(name, zone string) (*machine, error) {
	m := &machine{name: name, zone: zone, world: w, settings: filepath.Join(w.dir, name+".ini")}
	var err error
	if m.store, err = newCutter(w.storeAddress); err != nil {
		return nil, err
	}
	for _, x := range []struct {
		network string
		into    *string
	}{{"tcp", &m.callers}, {"tcp", &m.ready}, {"udp", &m.peers}} {
		if *x.into, err = w.freeAddress(x.network); err != nil {
			return nil, err
		}
	}
	ip, port, err := net.SplitHostPort(m.peers)
	if err != nil {
		return nil, err
	}
	// The settings of a machine of the small deployments.
	values := map[string]string{
		"nodeName": name, "zone": zone, "platform.address": m.store.address(), "listen.front": m.callers, "listen.ready": m.ready,
		"bounds.graceS": "8", "bounds.drainMs": "2000", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetSlack": "132",
		"limits.cpuShare": "0.4", "limits.memoryMb": fmt.Sprint(memoryMb), "ip": ip, "portRange.0": port,
	}
	text := placeholder.ReplaceAllStringFunc(w.template, func(p string) string { return values[strings.Trim(p, "{}")] })
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m, m.start()
}

// memoryMb is the memory of a machine of the small deployments.
const memoryMb = 284

// start starts the process of the machine. Its output goes to a log in the temporary folder.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(m.world.command[0], m.world.command[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LYCHEEBARROW_NODE_FILE=" + m.settings}
	c.Stdout, c.Stderr = log, log
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	if err := c.Start(); err != nil {
		return err
	}
	m.process, m.exited = c, make(chan struct{})
	m.starts++
	exited := m.exited
	go func() {
		err := c.Wait()
		m.world.record.add("the process of %s has ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// pid returns the id of the machine's process, or 0 if it has ended.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return 0
	default:
		return m.process.Process.Pid
	}
}

// kill ends the machine's process with SIGKILL.
func (m *machine) kill() {
	if m.pid() != 0 {
		_ = m.process.Process.Signal(syscall.SIGKILL)
	}
}

// awaitReady waits until the platform's question for readiness is answered with 200.
func (m *machine) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + m.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", m.name, limit)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
		m.kill()
		<-m.exited
	}
	if w.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// limits are those of the small deployments.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// configuration is the operator's configuration, with the routes and services of a small
// deployment.
func configuration() map[string]any {
	return map[string]any{
		"version": 7, "limits": limits, "tenants": []any{map[string]any{"name": "acme", "apiKeys": []string{apiKey}}},
		"routes": []any{
			map[string]any{"name": "draft", "host": host, "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400, "gapTargetMs": 250, "priority": 1, "service": "drafter", "attempts": 2, "public": false, "sticky": true, "resumable": true},
			map[string]any{"name": "send", "host": host, "pathPrefix": "/send/", "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "dispatch", "attempts": 1, "public": false},
			map[string]any{"name": "lookup", "host": host, "pathPrefix": "/lookup/", "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "dispatch", "attempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": "dispatch", "healthPath": "/health", "maxConnections": 49},
			map[string]any{"name": "drafter", "healthPath": "/health", "maxConnections": 324, "engine": map[string]any{
				"slots": 26, "kvCapacityTokens": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0,
				"loadsPerS": 5.5, "loads_at_once": 8, "cachedPrefixes": 1, "formMs": 300.0, "report_lag_ms": 200.0,
				"models": []any{
					map[string]any{"name": "small", "size": 3, "share": 1.0, "pace": 0.6, "loadS": 12.0, "warmS": 1.1},
				},
			}},
		},
	}
}

// Names of the deployment.
const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)
