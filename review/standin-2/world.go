//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

const (
	_key = "n2ctnfzs989anu6wsjnb" // of all clients
	// _memoryMB, _descriptors are those of a machine of a small site.
	_memoryMB    = 284
	_descriptors = 4200
)

// record is the record of a run. Each line has the time since the start of the run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		quit("create the record: %v", err)
	}
	return &record{file: f, began: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// quit ends a run that can't be judged.
func quit(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// world is the platform, the servers and the machines of a run.
type world struct {
	dir     string
	record  *record
	store   *stub.Store
	address string // of the store
	cluster *stub.EngineCluster
	host    string // the loopback address of the machines
}

// serve serves HTTP on a free loopback port and returns its address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		quit("listen: %v", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func newWorld(dir string, rec *record) *world {
	pid := os.Getpid()
	w := &world{dir: dir, record: rec, store: stub.NewStore(), host: fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f)}
	w.address = serve(w.store)
	return w
}

// addEngines starts the model servers: two domains of 11, as a third of a small site has.
func (w *world) addEngines(interval time.Duration) {
	w.cluster = &stub.EngineCluster{Store: w.store, Service: "engines", EventInterval: interval, Models: map[string]stub.Model{
		"large": {GroupSize: 6, LoadTime: 1500 * time.Millisecond, WarmUpTime: 600 * time.Millisecond},
		"small": {GroupSize: 3, LoadTime: 1200 * time.Millisecond, WarmUpTime: 500 * time.Millisecond},
	}}
	for i := range 22 {
		id := fmt.Sprintf("e%02d", i)
		w.cluster.AddEngine(id, "127.0.0.1:1", string(rune('a'+i/11)), fmt.Sprintf("d%d", i/11))
		w.cluster.SetAddress(id, serve(w.cluster.Handler(id)))
	}
}

// addPlain lists a plain server.
func (w *world) addPlain(id, address, zone string) {
	w.store.Put("servers", id, map[string]any{"service": "plain", "address": address, "zone": zone, "slots": 6, "state": "ready", "sequence": 1, "born": time.Now().UnixMilli()})
}

// configure writes the operator's configuration.
func (w *world) configure(version int) {
	c := stub.Configuration(version, _key)
	c["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}
	w.store.Put("config", "main", c)
}

// machine is one process of the system.
type machine struct {
	name, callers, ready string
	command              *exec.Cmd
	exited               chan error
}

var (
	_machinesMu sync.Mutex
	_machines   []*machine
)

// stopAll kills all processes that were started.
func stopAll() {
	_machinesMu.Lock()
	defer _machinesMu.Unlock()
	for _, m := range _machines {
		_ = m.command.Process.Kill()
	}
	for _, m := range _machines {
		<-m.exited
	}
	_machines = nil
}

var _placeholder = regexp.MustCompile(`\{\{[a-zA-Z.0-9]+\}\}`)

// start starts a machine with the command, the template and the settings of a small site.
func (w *world) start(name, zone string, port int, extra ...string) *machine {
	fields := map[string]string{
		"nodeName": name, "zone": zone, "ip": w.host, "portRange.0": strconv.Itoa(port + 2), "platform.address": w.address,
		"listen.front": fmt.Sprintf("%s:%d", w.host, port), "listen.ready": fmt.Sprintf("%s:%d", w.host, port+1),
		"bounds.graceS": "8", "bounds.drainMs": "2000", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetSlack": "132",
		"limits.cpuShare": "0.4", "limits.memoryMb": strconv.Itoa(_memoryMB), "limits.maxFds": strconv.Itoa(_descriptors),
	}
	template, err := os.ReadFile("deploy/instance.ini")
	if err != nil {
		quit("read the template: %v", err)
	}
	text := _placeholder.ReplaceAllStringFunc(string(template), func(s string) string { return fields[strings.Trim(s, "{}")] })
	file := filepath.Join(w.dir, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		quit("write the settings: %v", err)
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		quit("create the log: %v", err)
	}
	m := &machine{name: name, callers: fields["listen.front"], ready: fields["listen.ready"], exited: make(chan error, 1)}
	m.command = exec.Command("target/lbinstance")
	m.command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LYCHEEBARROW_NODE_FILE=" + file}, extra...)
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		quit("start %s: %v", name, err)
	}
	_machinesMu.Lock()
	_machines = append(_machines, m)
	_machinesMu.Unlock()
	go func() {
		m.exited <- m.command.Wait()
		_ = log.Close()
	}()
	w.record.add("%s starts: process %d, callers %s, ready %s", name, m.command.Process.Pid, m.callers, m.ready)
	return m
}

func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + m.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return
		}
	}
	quit("%s isn't ready", m.name)
}

// memoryMB returns the memory of the process that is in use, in MiB; 0 if it has ended.
func (m *machine) memoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.ParseFloat(f[1], 64)
			return n / 1024
		}
	}
	return 0
}
