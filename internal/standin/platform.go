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

// PlatformFaults are the faults that a Platform injects. The zero value means none.
type PlatformFaults struct {
	// Unavailable refuses every request with 503.
	Unavailable bool `json:"out"`
	// DelayMS delays every request, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponses closes the connection instead of responding, for this many of the
	// next writes, each after the write has taken effect.
	LoseResponses int `json:"lose_answers"`
	// FreezeList stops the list of instances from changing.
	FreezeList bool `json:"freeze_list"`
}

// Rate limits of the platform, in requests per second; also the burst sizes, in
// requests.
const (
	_writeRate = 400
	_readRate  = 2000
)

// Platform serves the object API and the list of instances. Make it with NewPlatform.
// It is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	faults    PlatformFaults
	version   uint64
	objects   map[string]storer.Object
	changed   chan struct{} // closed at the next write
	instances map[string]storer.Instance
	listed    []storer.Instance // the list of instances as it was last returned
	writes    *rate.Limiter
	reads     *rate.Limiter
	calls     map[string]int // number of requests by kind
}

// NewPlatform returns a platform without objects and instances.
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

// SetInstance adds an instance to the list or replaces the one of the same name.
func (p *Platform) SetInstance(i storer.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[i.Name] = i
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, name)
}

// SetFaults replaces the faults that the platform injects.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// CallCounts returns how many requests were accepted, by kind: instances, list, watch,
// get and write.
func (p *Platform) CallCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.calls))
	for k, n := range p.calls {
		out[k] = n
	}
	return out
}

// ServeHTTP serves the object API and the list of instances; POST /fault sets the faults
// and GET /calls returns the counts of CallCounts.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		var f PlatformFaults
		if decodeJSON(w, r, &f) {
			p.SetFaults(f)
		}
		return
	}
	if r.URL.Path == "/calls" {
		writeJSON(w, p.CallCounts())
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
		if decodeJSON(w, r, &i) {
			p.SetInstance(i)
		}
	case r.URL.Path == "/instances" && r.Method == http.MethodDelete:
		p.RemoveInstance(r.URL.Query().Get("name"))
	case r.URL.Path == "/instances":
		p.count("instances")
		writeJSON(w, map[string]any{"instances": p.listInstances()})
	case r.URL.Path == "/objects":
		p.count("list")
		writeJSON(w, map[string]any{"objects": p.objectsWithPrefix(r.URL.Query().Get("prefix"))})
	case r.Method == http.MethodGet && r.URL.Query().Has("after"):
		p.count("watch")
		p.watch(w, r, key)
	case r.Method == http.MethodGet:
		p.count("get")
		p.mu.Lock()
		o, ok := p.objects[key]
		p.mu.Unlock()
		writeObject(w, o, ok)
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

func (p *Platform) listInstances() []storer.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.FreezeList && p.listed != nil {
		return p.listed
	}
	p.listed = make([]storer.Instance, 0, len(p.instances))
	for _, i := range p.instances {
		p.listed = append(p.listed, i)
	}
	sort.Slice(p.listed, func(i, j int) bool { return p.listed[i].Name < p.listed[j].Name })
	return p.listed
}

func (p *Platform) objectsWithPrefix(prefix string) []storer.Object {
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
			writeObject(w, o, true)
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
	lose := p.faults.LoseResponses > 0
	if lose {
		p.faults.LoseResponses--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

func writeObject(w http.ResponseWriter, o storer.Object, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.Version, 10)))
	_, _ = w.Write(o.Value)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func decodeJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Instance returns the instance of that name, and whether it is on the list.
func (p *Platform) Instance(name string) (storer.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.instances[name]
	return i, ok
}

// Objects returns the values of all objects whose key starts with prefix, by key.
func (p *Platform) Objects(prefix string) map[string][]byte {
	out := make(map[string][]byte)
	for _, o := range p.objectsWithPrefix(prefix) {
		out[o.Key] = o.Value
	}
	return out
}
