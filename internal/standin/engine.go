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

// EngineFaults are the faults that an Engine injects. The zero value means none.
type EngineFaults struct {
	// IgnoreMembers makes a leader generate garbage while a member is missing,
	// instead of failing the replica.
	IgnoreMembers bool `json:"ignore_members"`
	// Frozen leaves requests without an answer for as long as the caller waits.
	Frozen bool `json:"frozen"`
	// CutAfterTokens closes the connection of each answer after that many tokens; 0
	// means never.
	CutAfterTokens int `json:"cut_after_tokens"`
	// EndAfterTokens ends each answer normally after that many tokens, but without
	// the end marker; 0 means never.
	EndAfterTokens int `json:"end_after_tokens"`
	// WrongAttemptHeader answers each request with the text for another caller's
	// prompt, and with the id of another attempt in the headers.
	WrongAttemptHeader bool `json:"cross_headers"`
	// WrongChunkID answers each request with the text for another caller's prompt, and
	// with the id of another attempt in the chunks.
	WrongChunkID bool `json:"cross_chunks"`
	// DuplicateChunks sends each chunk twice.
	DuplicateChunks bool `json:"repeat"`
	// SlowFactor multiplies the time for a token; 0 means 1.
	SlowFactor int `json:"slow_factor"`
	// Leaving makes the status report that the instance is leaving.
	Leaving bool `json:"leaving"`
}

// EngineOptions describes an engine instance.
type EngineOptions struct {
	Name string
	// ChecksFencing makes the engine use the generation as a fencing number: it refuses
	// orders whose generation is older than the current one.
	ChecksFencing bool
	// LoadTime is how long the engine takes to load a model.
	LoadTime time.Duration
	// TokenTime is the time between two tokens of an answer.
	TokenTime time.Duration
	// Network connects a leader to the other members of its replica.
	Network networker.Network
}

// _memberCheckInterval is the time between two checks of the members by their leader,
// and the timeout of the request to each member.
const _memberCheckInterval = 50 * time.Millisecond

// Engine is one instance of a model engine, which can be a member or the leader of a
// replica. Make it with NewEngine. It is safe for concurrent use.
type Engine struct {
	options EngineOptions
	members *engineclient.Client

	mu        sync.Mutex
	faults    EngineFaults
	boot      string // differs after each restart
	order     engineclient.Order
	state     engineclient.State
	loadedAt  time.Time                     // when the model is or will be loaded
	running   int                           // attempts that have a slot
	waiting   int                           // attempts that wait for a slot
	slotFreed chan struct{}                 // closed when a slot becomes free
	attempts  map[string]context.CancelFunc // running attempts by id
}

// NewEngine returns an idle engine, which has no order yet.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		options:   o,
		members:   engineclient.New(o.Network),
		boot:      strconv.FormatInt(time.Now().UnixNano(), 36),
		state:     engineclient.StateIdle,
		slotFreed: make(chan struct{}),
		attempts:  make(map[string]context.CancelFunc),
	}
}

// SetFaults replaces the faults that the engine injects.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart discards the order and all attempts, as a restart of the process would. The
// injected faults stay.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = strconv.FormatInt(time.Now().UnixNano(), 36)
	e.order = engineclient.Order{}
	e.state = engineclient.StateIdle
	e.cancelAttempts()
}

// ServeHTTP serves the engine protocol and POST /fault.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		var f EngineFaults
		if decodeJSON(w, r, &f) {
			e.SetFaults(f)
		}
		return
	}
	if e.currentFaults().Frozen {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/status":
		w.Header().Set(engineclient.HeaderAttempt, r.Header.Get(engineclient.HeaderAttempt))
		writeJSON(w, e.status())
	case "/order":
		e.applyOrder(w, r)
	case "/v1/chat/completions":
		e.chat(w, r)
	case "/cancel":
		e.cancel(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) currentFaults() EngineFaults {
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

// advance makes the engine ready when the load time has passed. The caller holds the
// lock.
func (e *Engine) advance() {
	if e.state == engineclient.StateLoading && !time.Now().Before(e.loadedAt) {
		e.state = engineclient.StateReady
	}
}

func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var o engineclient.Order
	if !decodeJSON(w, r, &o) {
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
		e.cancelAttempts()
		e.order = o
		e.state = engineclient.StateIdle
		if o.Replica != "" {
			e.state = engineclient.StateLoading
			e.loadedAt = time.Now().Add(e.options.LoadTime)
		}
	}
	e.mu.Unlock()
	writeJSON(w, e.status())
}

// cancelAttempts cancels all attempts in flight. The caller holds the lock.
func (e *Engine) cancelAttempts() {
	for _, c := range e.attempts {
		c()
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Attempt string `json:"attempt"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.attempts[body.Attempt]; ok {
		c()
	}
}

// membersPresent reports whether every other member of the order is ready with the same
// replica and generation, by its own status.
func (e *Engine) membersPresent(ctx context.Context, o engineclient.Order) bool {
	for i, a := range o.Addresses {
		if o.Members[i] == e.options.Name {
			continue
		}
		probe, cancel := context.WithTimeout(ctx, _memberCheckInterval)
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
