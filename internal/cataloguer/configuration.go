package cataloguer

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the operator's configuration. It is immutable
// once it is published.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      map[string]Service
	Limits        Limits
	Organisations []Organisation

	// keyRequired is true if callers need a key on routes that are not public.
	// Index sets it.
	keyRequired bool
	byKey       map[string]*Organisation
	sharedKeys  []SharedKey
	byHost      map[string][]*Route
}

// Kind states whether a request may be sent again after a send has failed.
type Kind int

// Kinds of requests.
const (
	// KindUnsafe may run at most once for each attempt of a caller.
	KindUnsafe Kind = iota
	// KindSafe may run any number of times.
	KindSafe
	// KindStream has a stream of events as its response. It may run at most once,
	// like KindUnsafe, unless its route is Resumable.
	KindStream
)

// String returns the name of the kind as logs show it.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller may wait for a response.
	Timeout time.Duration
	// LatencyTarget is the longest time to the response, or to the first event of
	// a stream, that still counts as fully on time.
	LatencyTarget time.Duration
	// GapTarget is the longest time between two events of a stream that still
	// counts as on time.
	GapTarget time.Duration
	// Priority is the priority of the route's requests at their upstream; 0 is the
	// most urgent.
	Priority int
	// Split is the traffic split over services.
	Split []ServiceWeight
	// Attempts is the largest number of upstreams that one request may run on.
	Attempts  int
	Public    bool // callers without a known key are admitted
	Resumable bool // a KindStream request may run again after a send has failed
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// ServiceWeight is the weight of one service in a route's traffic split. The
// service's share of the requests is its weight divided by the sum of weights.
type ServiceWeight struct {
	Service string
	Weight  int
}

// Limits bound the header and the body of a caller's request, in bytes, the time to
// wait for the header, and the time that a connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation owns a set of keys, which its callers authenticate with.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts
	// from all callers together.
	MaxConnections int
	// ColdTime is how long an upstream is cold after its start, and ColdRate the requests
	// per second that a cold one can take; a ColdRate of 0 means no limit.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service. Its figures hold for a whole
// group of upstreams, not for each member.
type Engine struct {
	Slots              int
	KVTokens           int // capacity of the key-value cache, in tokens
	Models             []Model
	StepTime           time.Duration // base time of one step
	StepTimePerRequest time.Duration // extra time for each running request
	// StepTimePer1KContext is the step's extra time for 1,000 tokens of context.
	StepTimePer1KContext time.Duration
	PrefillRate          float64       // prompt tokens per second
	StepsPerPass         int           // steps in a pass that generates tokens
	FormTime             time.Duration // time to form a group
	MaxLoadsPerSecond    float64       // loads that may begin per second, over all upstreams; 0 for no limit
	MaxConcurrentLoads   int           // model loads that run at full speed at the same time; 0 for no limit
	MaxStagedModels      int           // models that an upstream's host keeps staged
}

// Model returns the model with the given name, and whether there is one.
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
	// InitialShare is the model's expected part of the load at the start, from 0
	// to 1.
	InitialShare float64
	// TimeFactor multiplies all of the engine's times for this model.
	TimeFactor float64
	LoadTime   time.Duration // to load the model on an upstream that has not staged it
	WarmUpTime time.Duration // to load the model on an upstream that has staged it
}

// Index builds the indexes that Route and Authenticate use. Call it once, before
// the configuration is published.
func (c *Configuration) Index() {
	c.indexKeys()
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
}

// SharedKey names two organisations that have a key in common. Requests with the key
// belong to Owner, the first of them by name.
type SharedKey struct{ Owner, Other string }

// SharedKeys returns one entry for each key that an organisation shares with one
// before it by name.
func (c *Configuration) SharedKeys() []SharedKey { return c.sharedKeys }

// indexKeys builds the index of keys.
func (c *Configuration) indexKeys() {
	c.keyRequired = len(c.Organisations) > 0
	c.byKey, c.sharedKeys = make(map[string]*Organisation), nil
	byName := make([]*Organisation, len(c.Organisations))
	for i := range c.Organisations {
		byName[i] = &c.Organisations[i]
	}
	slices.SortStableFunc(byName, func(a, b *Organisation) int { return cmp.Compare(a.Name, b.Name) })
	for _, o := range byName {
		for _, k := range o.Keys {
			owner := c.byKey[k]
			switch {
			case owner == nil:
				c.byKey[k] = o
			case owner.Name != o.Name:
				c.sharedKeys = append(c.sharedKeys, SharedKey{Owner: owner.Name, Other: o.Name})
			}
		}
	}
}

// Route returns the route of the host whose prefix is the longest that matches
// path, or nil if none matches.
func (c *Configuration) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Authenticate returns the organisation that owns the key, or nil if none does.
// The second result is false if the route requires a key and the key is unknown.
func (c *Configuration) Authenticate(r *Route, key string) (*Organisation, bool) {
	if !c.keyRequired {
		return nil, true
	}
	o := c.byKey[key]
	return o, o != nil || r.Public
}

// PickService picks a service of the route's traffic split by weight. random is a
// random number from 0 up to, but not including, 1. PickService returns "" for an
// empty split.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := random * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return ""
}
