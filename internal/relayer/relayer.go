package relayer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

const (
	// _defaultDeadline bounds a request whose route and caller name no time.
	_defaultDeadline = 30 * time.Second
	// _defaultBody is the largest request body where the configuration names
	// none, in bytes.
	_defaultBody = 4 << 20
)

// Meter measures requests.
type Meter interface {
	Ended(organisation, outcome string)
	FirstToken(organisation string, after time.Duration)
	Refused(code string)
}

// Relayer is the handler of callers' requests. Set its fields before use.
type Relayer struct {
	Knowledge  Knowledge
	Protocol   Protocol
	Pool       *forwarder.Pool
	Balancer   *balancer.Balancer
	Budget     *budgeter.Budget
	Log        logger.Logger
	Meter      Meter
	DataCentre string
	Watchdog   *Watchdog
	// Part returns this process's part of all callers; nil means that there are
	// no other processes.
	Part func() float64

	// gates are the *gate of each sharer.ModelKey.
	gates sync.Map
	crowd atomic.Pointer[sharer.TotalLoad]

	// requests counts the requests that were taken.
	requests atomic.Int64
	load     load
	leaving  atomic.Bool
}

// Busy says that callers' requests have begun.
func (s *Relayer) Busy() bool { return s.requests.Load() > 0 }

// Load returns the requests a second that are taken, as a mean over some time.
func (s *Relayer) Load() float64 { return s.load.rate(time.Now()) }

// Leave makes each answer ask for another connection, since the process is
// about to end.
func (s *Relayer) Leave() { s.leaving.Store(true) }

// ServeHTTP serves one request.
func (s *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := s.begin(w, r)
	defer c.end()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.admit() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errTimeout)
	defer cancel()
	c.ctx = ctx
	if c.route.Kind == cataloguer.KindStream {
		leave, ok := c.enter()
		if !ok {
			return
		}
		defer leave()
		c.stream()
		return
	}
	c.plain()
}

// Causes of an end.
var (
	errTimeout = errors.New("the request's time is over")
	errSilent  = errors.New("the upstream fell silent")
)

// call is one request of a caller.
type call struct {
	*Relayer
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	began   time.Time
	request Request
	route   *cataloguer.Route
	service cataloguer.Service
	// organisation is empty where the request needs no key.
	organisation string
	version      uint64
	body         []byte
	deadline     time.Time

	// sends counts the sends to upstreams, and tried names them.
	sends int
	// sent is when the latest of them began.
	sent  time.Time
	tried []string
	// ran says that an upstream may have run the request.
	ran bool
	// first is when the first byte of the answer was passed on.
	first time.Time
	// latest is when bytes of the answer were last passed on, and gap the longest
	// pause between two such moments.
	latest time.Time
	gap    time.Duration
	// resumed counts sends that went on with a stream that another had begun.
	resumed int
	// started says that an answer's head was passed on.
	started bool
	status  int
	outcome string
	last    error

	gate     *gate
	admitter *admitter.Admitter
	places   admitter.Places
	// returning says that the caller came back after a refusal, and waits that it
	// counts as one that waits for its first event.
	returning bool
	waits     atomic.Bool
}

func (s *Relayer) begin(w http.ResponseWriter, r *http.Request) *call {
	return &call{Relayer: s, w: w, r: r, began: time.Now(), request: s.Protocol.Request(r.Header)}
}

// end writes the request's line.
func (c *call) end() {
	now := time.Now()
	fields := logger.Fields{
		"request": c.request.ID, "status": c.status, "outcome": c.outcome, "sends": c.sends,
		"total_ms": now.Sub(c.began).Milliseconds(), "configuration": c.version,
	}
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["service"] = c.service.Name
	}
	if c.organisation != "" {
		fields["organisation"] = c.organisation
	}
	if c.request.Model != "" {
		fields["model"] = c.request.Model
	}
	if len(c.tried) > 0 {
		fields["upstream"] = strings.Join(c.tried, ",")
	}
	if !c.first.IsZero() {
		fields["first_ms"] = c.first.Sub(c.began).Milliseconds()
		fields["late"] = c.late()
	}
	if c.gap > 0 {
		fields["gap_ms"] = c.gap.Milliseconds()
	}
	if c.resumed > 0 {
		fields["resumed"] = c.resumed
	}
	if c.Meter != nil {
		c.Meter.Ended(c.organisation, c.outcome)
	}
	if c.last != nil {
		c.Log.Failure("request", c.last, fields)
		return
	}
	c.Log.Event("request", fields)
}

// late tells why an answer came later than its route wants: "first" for its
// beginning, "gap" for a pause in it, "no" where it did not.
func (c *call) late() string {
	switch {
	case c.route.LatencyTarget > 0 && c.first.Sub(c.began) > c.route.LatencyTarget:
		return "first"
	case c.route.GapTarget > 0 && c.gap > c.route.GapTarget:
		return "gap"
	default:
		return "no"
	}
}

// admit finds the route and the caller's organisation, and reads the body. It
// returns false where the request was answered.
func (c *call) admit() bool {
	configuration := c.Knowledge.Configuration()
	if configuration == nil {
		c.refuse(http.StatusServiceUnavailable, "no-configuration")
		return false
	}
	c.version = configuration.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = configuration.Route(hostName(c.r.Host), path)
	if c.route == nil {
		c.fail(http.StatusNotFound, "no-route")
		return false
	}
	o, ok := configuration.Authenticate(c.route, c.request.Key)
	if !ok {
		c.fail(http.StatusUnauthorized, "unknown-key")
		return false
	}
	if o != nil {
		c.organisation = o.Name
	}
	c.service = configuration.Services[c.route.PickService(rand.Float64())]
	limit := configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = _defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		c.fail(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	case err != nil:
		c.last = err
		c.fail(http.StatusBadRequest, "body-unread")
		return false
	}
	c.body = body
	c.requests.Add(1)
	c.load.count(c.began)
	c.Budget.Request(c.service.Name, c.began)
	c.deadline = c.began.Add(c.time())
	return true
}

// time returns the time that the request may take.
func (c *call) time() time.Duration {
	d := _defaultDeadline
	if c.route != nil && c.route.Timeout > 0 {
		d = c.route.Timeout
	}
	if c.request.Deadline > 0 {
		d = min(d, c.request.Deadline)
	}
	return d
}

// hostName returns a Host field without its port, in lower case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// refuse answers that the request has not run and never will, and when to come
// back.
func (c *call) refuse(status int, reason string) {
	c.Protocol.Refuse(c.w.Header(), c.request.ID, c.comeBack())
	if c.Meter != nil {
		c.Meter.Refused(reason)
	}
	c.answer(status, reason)
}

// comeBack returns when a refused caller should come back.
func (c *call) comeBack() time.Duration {
	left := c.time()
	if !c.deadline.IsZero() {
		left = time.Until(c.deadline)
	}
	return admitter.ComeBack(left, rand.Float64())
}

// fail answers with a failure that promises nothing.
func (c *call) fail(status int, reason string) { c.answer(status, reason) }

func (c *call) answer(status int, reason string) {
	c.status, c.outcome = status, reason
	c.started = true
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, "lycheebarrow: "+reason+"\n")
}
