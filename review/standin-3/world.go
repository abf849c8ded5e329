//go:build review3

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

// record is the record of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the system. It runs the program of the deploy file with settings
// rendered from the template of the deploy file.
type machine struct {
	world              *world
	name, zone         string
	front, ready, peer string
	settings, log      string
	mu                 sync.Mutex
	command            *exec.Cmd
	done               chan struct{}
}

type world struct {
	dir, root string
	record    *record
	store     *stub.Store
	storeAddr string
	fleet     *fleet
	machines  []*machine
	version   int
	trouble   bool
	results   map[string]int
	resultsMu sync.Mutex
	requests  int
	// answers has the end of each request.
	answers []answer
	// memory, descriptors and share are the limits of a machine.
	memory, descriptors, share string
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// render fills in the template of the deploy file.
func render(template string, values map[string]string) string {
	for name, v := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", v)
	}
	for {
		i := strings.Index(template, "{{")
		if i < 0 {
			return template
		}
		j := strings.Index(template[i:], "}}")
		template = template[:i] + template[i+j+2:]
	}
}

func newWorld(root, recordFile string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, root: root, record: r, store: stub.NewStore(), trouble: os.Getenv("TROUBLE") != "0", results: make(map[string]int)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	w.fleet = newFleet(w.store, r)
	w.memory, w.descriptors, w.share = "284", "4200", "0.4"
	w.fleet.slots = 26
	w.configure()
	return w, nil
}

// configure writes the configuration, as the operator does.
func (w *world) configure() {
	if w.version == 0 {
		w.version = 1
	}
	var list []any
	for _, name := range []string{"large", "small"} {
		m := models[name]
		list = append(list, map[string]any{"name": name, "size": m.size, "share": m.share, "pace": m.pace, "loadS": m.load.Seconds(), "warmS": m.warm.Seconds()})
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routes": []any{
			map[string]any{"name": "draft", "host": "h.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400, "gapTargetMs": 250, "priority": 1, "service": "engines", "attempts": 2, "resumable": true, "sticky": true, "public": false},
			map[string]any{"name": "summary", "host": "h.example", "pathPrefix": "/summary/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400, "gapTargetMs": 250, "priority": 1, "service": "engines", "attempts": 2, "resumable": true, "sticky": true, "public": false},
		},
		"services": []any{map[string]any{"name": "engines", "healthPath": "/health", "maxConnections": 324, "protocol": "h1", "engine": map[string]any{
			"slots": w.fleet.slots, "kvCapacityTokens": 2470000, "stride": 6, "models": list, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0, "report_lag_ms": 200.0, "loadsPerS": 5.5, "loads_at_once": 8, "cachedPrefixes": 1, "far_x": 4.0, "formMs": 300.0,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": []string{"a-key"}, "priority": 1}},
	})
}

func (w *world) addMachine(name, zone string) error {
	m := &machine{world: w, name: name, zone: zone, front: freeAddress(), ready: freeAddress(), peer: freeAddress()}
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "instance.ini"))
	if err != nil {
		return err
	}
	host, port, _ := net.SplitHostPort(m.peer)
	m.settings, m.log = filepath.Join(w.dir, name+".ini"), filepath.Join(w.dir, name+".log")
	out := render(string(text), map[string]string{
		"nodeName": name, "zone": zone, "platform.address": w.storeAddr, "listen.front": m.front, "listen.ready": m.ready, "ip": host, "portRange.0": port,
		"bounds.graceS": "8", "bounds.drainMs": "2000", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetSlack": "132",
		"limits.cpuShare": w.share, "limits.memoryMb": w.memory, "limits.maxFds": w.descriptors,
	})
	if err := os.WriteFile(m.settings, []byte(out), 0o600); err != nil {
		return err
	}
	w.machines = append(w.machines, m)
	return m.start()
}

func (m *machine) start() error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(m.world.root, "target", "lbinstance"))
	c.Dir = m.world.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LYCHEEBARROW_NODE_FILE=" + m.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.command, m.done = c, make(chan struct{})
	done := m.done
	m.mu.Unlock()
	m.world.record.printf("machine %s starts", m.name)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.world.record.printf("machine %s is killed", m.name)
	m.mu.Lock()
	c, done := m.command, m.done
	m.mu.Unlock()
	_ = c.Process.Kill() // an error means that it has ended
	<-done
}

func (m *machine) processID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.command.Process.Pid
}

func (w *world) close() {
	for _, m := range w.machines {
		m.mu.Lock()
		c, done := m.command, m.done
		m.mu.Unlock()
		_ = c.Process.Signal(syscall.SIGKILL) // an error means that it has ended
		<-done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// until waits until a condition holds, at most for limit.
func (w *world) until(what string, limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			w.record.printf("reached: %s", what)
			return true
		}
	}
	w.record.printf("not reached in %s: %s", limit, what)
	return false
}
