package cataloguer

import (
	"strings"
	"time"
)

// Configuration is one version of the operator's configuration. It does not
// change once it is published.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      map[string]Service
	Limits        Limits
	Organisations []Organisation

	// closed says that callers need a key. It is set by Index.
	closed bool
	byKey  map[string]*Organisation
	byHost map[string][]*Route
}

// Kind says what may be repeated of a request.
type Kind int

// Kinds of requests.
const (
	// KindUnsafe may run at most once for each attempt of a caller.
	KindUnsafe Kind = iota
	// KindSafe may run any number of times.
	KindSafe
	// KindStream is answered by a stream of events; it counts as unsafe unless
	// its route says that it may be resumed.
	KindStream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to its first event, that earns full
	// credit.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events that is still on time.
	GapTarget time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	Split    []ServiceWeight
	// Attempts is the largest number of upstreams that one request may run on.
	Attempts  int
	Public    bool
	Resumable bool
}

// Repeatable says that a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// ServiceWeight is a service's part of a route's requests.
type ServiceWeight struct {
	Service string
	Weight  int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a customer, with the keys that its callers may use.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's where Ranked is true.
	Priority    int
	HasPriority bool
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name string
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service; its figures are those of a
// whole group.
type Engine struct {
	Slots              int
	KVTokens           int
	Models             []Model
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// StepTimePer1KContext is the step's extra time for 1,000 tokens of context.
	StepTimePer1KContext time.Duration
	PrefillRate          float64 // prompt tokens a second
	StepsPerPass         int     // steps in a pass that writes
	FormTime             time.Duration
	MaxLoadsPerSecond    float64 // loads that may begin in a second, over all upstreams
	MaxConcurrentLoads   int
	MaxStagedModels      int // models that a host keeps
}

// Model returns the model of that name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Model is a model that groups of upstreams serve.
type Model struct {
	Name string
	// GroupSize is the number of upstreams in a group.
	GroupSize int
	// ServiceWeight is the model's part of the work at the start, from 0 to 1.
	InitialShare float64
	// TimeFactor is a factor on all of the engine's times.
	TimeFactor float64
	LoadTime   time.Duration
	WarmUpTime time.Duration
}

// Index prepares the look-ups. Call it once, before the configuration is
// published.
func (c *Configuration) Index() {
	c.closed = len(c.Organisations) > 0
	c.byKey = make(map[string]*Organisation)
	for i := range c.Organisations {
		for _, k := range c.Organisations[i].Keys {
			c.byKey[k] = &c.Organisations[i]
		}
	}
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
}

// Route returns the route of a host with the longest prefix of path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Authenticate returns the organisation whose key it is. The second result is
// false where the route needs a key that is not known.
func (c *Configuration) Authenticate(r *Route, key string) (*Organisation, bool) {
	if !c.closed {
		return nil, true
	}
	o := c.byKey[key]
	return o, o != nil || r.Public
}

// PickService returns the service of a split for a point from 0 up to, but not
// including, 1. It returns "" for an empty split.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return ""
}
