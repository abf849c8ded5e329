package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// PlatformFaults are the switches of a Platform.
type PlatformFaults struct {
	// Unavailable refuses every call with 503.
	Unavailable bool `json:"out"`
	// DelayMS is added to every call.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers cuts the connection after this many next writes took effect.
	LoseAnswers int `json:"lose_answers"`
	// FreezeList stops the list of instances from changing.
	FreezeList bool `json:"freeze_list"`
}

// Rates of the platform, in calls a second.
const (
	_writeRate = 400
	_readRate  = 2000
)

// Platform is the object API and the list of instances. Make it with
// NewPlatform.
type Platform struct {
	mu        sync.Mutex
	faults    PlatformFaults
	version   uint64
	objects   map[string]storer.Object
	changed   chan struct{}
	instances map[string]storer.Instance
	shown     []storer.Instance
	writes    *rate.Limiter
	reads     *rate.Limiter
	calls     map[string]int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		objects:   make(map[string]storer.Object),
		instances: make(map[string]storer.Instance),
		changed:   make(chan struct{}),
		writes:    rate.NewLimiter(_writeRate, _writeRate),
		reads:     rate.NewLimiter(_readRate, _readRate),
		calls:     make(map[string]int),
	}
}

// SetInstance adds or changes a row of the list of instances.
func (p *Platform) SetInstance(i storer.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[i.Name] = i
}

// RemoveInstance removes a row of the list of instances.
func (p *Platform) RemoveInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, name)
}

// SetFaults switches faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// CallCounts returns how many calls of each kind were taken.
func (p *Platform) CallCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.calls))
	for k, n := range p.calls {
		out[k] = n
	}
	return out
}

// ServeHTTP serves the object API.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		var f PlatformFaults
		if decode(w, r, &f) {
			p.SetFaults(f)
		}
		return
	}
	if r.URL.Path == "/calls" {
		answer(w, p.CallCounts())
		return
	}
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
	if f.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	limiter := p.reads
	if r.Method != http.MethodGet {
		limiter = p.writes
	}
	if !limiter.Allow() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.route(w, r)
}

func (p *Platform) route(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/objects/")
	switch {
	case r.URL.Path == "/instances" && r.Method == http.MethodPost:
		var i storer.Instance
		if decode(w, r, &i) {
			p.SetInstance(i)
		}
	case r.URL.Path == "/instances" && r.Method == http.MethodDelete:
		p.RemoveInstance(r.URL.Query().Get("name"))
	case r.URL.Path == "/instances":
		p.count("instances")
		answer(w, map[string]any{"instances": p.list()})
	case r.URL.Path == "/objects":
		p.count("list")
		answer(w, map[string]any{"objects": p.prefix(r.URL.Query().Get("prefix"))})
	case r.Method == http.MethodGet && r.URL.Query().Has("after"):
		p.count("watch")
		p.watch(w, r, key)
	case r.Method == http.MethodGet:
		p.count("get")
		p.mu.Lock()
		o, ok := p.objects[key]
		p.mu.Unlock()
		show(w, o, ok)
	default:
		p.count("write")
		p.write(w, r, key)
	}
}

func (p *Platform) count(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[kind]++
}

func (p *Platform) list() []storer.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.FreezeList && p.shown != nil {
		return p.shown
	}
	p.shown = make([]storer.Instance, 0, len(p.instances))
	for _, i := range p.instances {
		p.shown = append(p.shown, i)
	}
	sort.Slice(p.shown, func(i, j int) bool { return p.shown[i].Name < p.shown[j].Name })
	return p.shown
}

func (p *Platform) prefix(prefix string) []storer.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]storer.Object, 0)
	for k, o := range p.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		o, ok := p.objects[key]
		changed := p.changed
		p.mu.Unlock()
		if ok && o.Version > after {
			show(w, o, true)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, storer.MaxValueBytes+1))
	if err != nil || len(value) > storer.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	o, ok := p.objects[key]
	match := strings.Trim(r.Header.Get("If-Match"), `"`)
	create := r.Header.Get("If-None-Match") == "*"
	if create && ok || !create && (!ok || match != strconv.FormatUint(o.Version, 10)) {
		p.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.version++
	if r.Method == http.MethodDelete {
		delete(p.objects, key)
	} else {
		p.objects[key] = storer.Object{Key: key, Version: p.version, Value: value}
	}
	version := p.version
	close(p.changed)
	p.changed = make(chan struct{})
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

func show(w http.ResponseWriter, o storer.Object, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.Version, 10)))
	_, _ = w.Write(o.Value)
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Instance returns a row of the list of instances.
func (p *Platform) Instance(name string) (storer.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.instances[name]
	return i, ok
}

// Objects returns the values of all objects whose key starts with prefix.
func (p *Platform) Objects(prefix string) map[string][]byte {
	out := make(map[string][]byte)
	for _, o := range p.prefix(prefix) {
		out[o.Key] = o.Value
	}
	return out
}
