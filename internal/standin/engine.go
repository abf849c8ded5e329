package standin

import (
	"context"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// EngineFaults are the switches of an Engine.
type EngineFaults struct {
	// IgnoreMembers lets a leader go on generating while a member is missing.
	IgnoreMembers bool `json:"ignore_members"`
	// Frozen answers nothing until it is switched off.
	Frozen bool `json:"frozen"`
	// CutAfterTokens breaks each answer's connection after that many tokens.
	CutAfterTokens int `json:"cut_after_tokens"`
	// EndAfterTokens ends each answer in good order after that many tokens, but
	// without the end marker.
	EndAfterTokens int `json:"end_after_tokens"`
	// WrongAttemptHeader gives each caller another one's answer, under that one's id in
	// the headers.
	WrongAttemptHeader bool `json:"cross_headers"`
	// WrongChunkID gives each caller another one's answer, under that one's id in
	// the chunks.
	WrongChunkID bool `json:"cross_chunks"`
	// DuplicateChunks sends each chunk twice.
	DuplicateChunks bool `json:"repeat"`
	// SlowFactor multiplies the time for a token; 0 means 1.
	SlowFactor int `json:"slow_factor"`
	// Leaving is reported in the status.
	Leaving bool `json:"leaving"`
}

// EngineOptions describe an engine instance.
type EngineOptions struct {
	Name string
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// TokenTime is the time for one token of one answer.
	TokenTime time.Duration
	// Network connects a leader to its members.
	Network networker.Network
}

// _memberCheck is how often a leader checks its members.
const _memberCheck = 50 * time.Millisecond

// Engine is one instance of a model engine. Make it with NewEngine.
type Engine struct {
	options EngineOptions
	members *engineclient.Client

	mu       sync.Mutex
	faults   EngineFaults
	boot     string
	order    engineclient.Order
	state    engineclient.State
	loaded   time.Time
	running  int
	waiting  int
	free     chan struct{}
	attempts map[string]context.CancelFunc
}

// NewEngine returns an idle engine.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		options:  o,
		members:  engineclient.New(o.Network),
		boot:     strconv.FormatInt(time.Now().UnixNano(), 36),
		state:    engineclient.StateIdle,
		free:     make(chan struct{}),
		attempts: make(map[string]context.CancelFunc),
	}
}

// SetFaults switches faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart forgets everything, as a new process would.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = strconv.FormatInt(time.Now().UnixNano(), 36)
	e.order = engineclient.Order{}
	e.state = engineclient.StateIdle
	e.cut()
}

// ServeHTTP serves the engine protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		var f EngineFaults
		if decode(w, r, &f) {
			e.SetFaults(f)
		}
		return
	}
	if e.current().Frozen {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/status":
		answer(w, e.status())
	case "/order":
		e.obey(w, r)
	case "/v1/chat/completions":
		e.chat(w, r)
	case "/cancel":
		e.cancel(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) current() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) status() engineclient.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return engineclient.Status{
		Instance: e.options.Name, Boot: e.boot, Replica: e.order.Replica, Generation: e.order.Generation,
		Model: e.order.Model, Version: e.order.Version, Members: e.order.Members, State: e.state,
		Leaving: e.faults.Leaving, Slots: e.order.Slots, InFlight: uint32(e.running), Queued: uint32(e.waiting),
		LoadSeconds: e.options.LoadTime.Seconds(),
	}
}

// advance ends a load whose time has passed. The caller holds the lock.
func (e *Engine) advance() {
	if e.state == engineclient.StateLoading && !time.Now().Before(e.loaded) {
		e.state = engineclient.StateReady
	}
}

func (e *Engine) obey(w http.ResponseWriter, r *http.Request) {
	var o engineclient.Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	old := o.Generation < e.order.Generation
	same := o.Generation == e.order.Generation && o.Replica == e.order.Replica
	if old && e.options.ChecksFencing {
		e.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	if !same || e.state == engineclient.StateFailed {
		e.cut()
		e.order = o
		e.state = engineclient.StateIdle
		if o.Replica != "" {
			e.state = engineclient.StateLoading
			e.loaded = time.Now().Add(e.options.LoadTime)
		}
	}
	e.mu.Unlock()
	answer(w, e.status())
}

// cut ends all attempts. The caller holds the lock.
func (e *Engine) cut() {
	for _, c := range e.attempts {
		c()
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Attempt string `json:"attempt"`
	}
	if !decode(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.attempts[body.Attempt]; ok {
		c()
	}
}

// membersPresent asks every member for its own status.
func (e *Engine) membersPresent(ctx context.Context, o engineclient.Order) bool {
	for i, a := range o.Addresses {
		if o.Members[i] == e.options.Name {
			continue
		}
		probe, cancel := context.WithTimeout(ctx, _memberCheck)
		s, err := e.members.Status(probe, a)
		cancel()
		if err != nil || s.Replica != o.Replica || s.Generation != o.Generation || s.State != engineclient.StateReady {
			return false
		}
	}
	return true
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
