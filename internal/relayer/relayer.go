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
	"github.com/lycheebarrow/lycheebarrow/internal/prioritiser"
	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
	"github.com/lycheebarrow/lycheebarrow/internal/reserver"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

const (
	// _defaultTimeout bounds a request whose route and caller set no timeout.
	_defaultTimeout = 30 * time.Second
	// _defaultBodyLimit is the largest request body where the configuration sets no
	// limit, in bytes.
	_defaultBodyLimit = 4 << 20
)

// Meter records the metrics of requests.
type Meter interface {
	// CountRequest counts a finished request by its outcome.
	CountRequest(organisation, outcome string)
	// ObserveFirstToken records the time from the arrival of a request to the first event
	// of its stream.
	ObserveFirstToken(organisation string, after time.Duration)
	// CountRefusal counts a refused request by its reason.
	CountRefusal(code string)
	// CountInvalidWait counts a response that asks to wait for a time that can't be read.
	CountInvalidWait()
	// CountInvalidLimit counts a response that states a limit that can't be read.
	CountInvalidLimit()
}

// Relayer is the HTTP handler for the requests of callers. Set its exported fields
// before use. Meter may be nil.
type Relayer struct {
	Catalogue Catalogue
	Protocol  Protocol
	Pool      *forwarder.Pool
	Balancer  *balancer.Balancer
	// Screener decides which upstreams may take requests.
	Screener   *screener.Screener
	Budget     *budgeter.Budget
	Log        logger.Logger
	Meter      Meter
	DataCentre string
	Watchdog   *Watchdog
	// StartsUntil is when this process should know the configuration and the list of
	// upstreams. Until then a request waits for them for a moment.
	StartsUntil time.Time
	// CallerShare returns the fraction of all callers that this process serves, from
	// 0 to 1. It may be nil if there are no other processes.
	CallerShare func() float64

	// Quarantine keeps prompts that crash upstreams from being sent.
	Quarantine quarantiner.Quarantiner

	// models maps each sharer.ModelKey to its *modelState.
	models    sync.Map
	attempts  admitter.RouteAttempts
	totalLoad atomic.Pointer[sharer.TotalLoad]

	// Bodies bounds the memory of callers' request bodies.
	Bodies reserver.Reserver

	// requests counts the requests that were read whole and passed authentication.
	requests atomic.Int64
	arrivals rateMeter
	// drain is nil until the process shuts down.
	drain  atomic.Pointer[Shutdown]
	bodies bodyReader
	open   requestSet
}

// TrafficStarted returns true once a request has been read whole and has passed
// authentication.
func (s *Relayer) TrafficStarted() bool { return s.requests.Load() > 0 }

// RequestRate returns the rate of requests that this process receives, per second,
// as a moving average with a time constant of 10 s.
func (s *Relayer) RequestRate() float64 { return s.arrivals.rate(time.Now()) }

// ServeHTTP serves one request.
func (s *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	s.open.add(&c.progress)
	defer s.open.remove(&c.progress)
	defer c.logEnd()
	defer c.releaseBody()
	defer c.cancel(nil)
	if s.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if !c.prepare() || c.refuseDraining() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(c.ctx, c.deadline, errTimeout)
	defer cancel()
	c.ctx = ctx
	if c.route.Kind == cataloguer.KindStream {
		if c.refuseQuarantined() {
			return
		}
		done, ok := c.admit()
		if !ok {
			return
		}
		defer done()
		c.relayStream()
		return
	}
	c.relayPlain()
}

// Causes with which the context of a request or of a send is cancelled.
var (
	errTimeout = errors.New("relayer: request deadline exceeded")
	errSilent  = errors.New("relayer: upstream stopped sending data")
)

// call is one request of a caller, from its arrival to the end of its response.
type call struct {
	*Relayer
	progress  progress
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	cancel    context.CancelCauseFunc
	arrivedAt time.Time
	request   Request
	route     *cataloguer.Route
	service   cataloguer.Service
	// organisation is empty if the route needs no key.
	organisation string
	// priorityClass is the priority of the organisation, or else of the route.
	priorityClass int
	// version is the version of the configuration.
	version uint64
	body    []byte
	// bodyMemory is the memory of body; nil until a body is read.
	bodyMemory *reserver.Reservation
	deadline   time.Time

	// parts are the shared parts of the prompt.
	parts []quarantiner.Part
	// life is that of the latest send's upstream. brokenOff is true if that upstream broke
	// the send off before its first output.
	life      quarantiner.Life
	brokenOff bool
	// sendEvents counts the events of the latest send.
	sendEvents int

	// sends counts how often the request was sent to an upstream.
	sends int
	// sentAt is when the latest send began.
	sentAt time.Time
	// tried has the id of each send's upstream.
	tried []string
	// mayHaveRun is true if an upstream may have run the request.
	mayHaveRun bool
	// headWrittenAt is when the head of an upstream's response was passed on.
	headWrittenAt time.Time
	// lastEventsAt is when events were last passed on.
	lastEventsAt time.Time
	// longestGap is the longest time between two moments at which events were
	// passed on.
	longestGap time.Duration
	// resumes counts the sends that continued a stream of an earlier send.
	resumes int
	// headWritten is true once the head of a response was passed on.
	headWritten bool
	// status is the HTTP status of the response, and outcome says how the request
	// ended; both are logged.
	status  int
	outcome string
	// freeAt is when the first upstream takes requests again, where all those left asked to
	// wait; zero otherwise.
	freeAt time.Time
	// lastErr is the error of the latest send that failed; nil once a response was
	// passed on whole.
	lastErr error

	model    *modelState
	admitter *admitter.Admitter
	capacity admitter.Capacity
	// returning is true if the caller was refused before and retries.
	returning bool
	// countedReturning is true while model.returning includes this request.
	countedReturning atomic.Bool
}

func (s *Relayer) newCall(w http.ResponseWriter, r *http.Request) *call {
	c := &call{Relayer: s, w: w, r: r, arrivedAt: time.Now(), request: s.Protocol.Request(r.Header)}
	c.ctx, c.cancel = context.WithCancelCause(r.Context())
	c.progress.onInterrupt(c.settle)
	c.progress.state = state{id: c.request.ID, arrivedAt: c.arrivedAt}
	return c
}

// logEnd logs and counts the finished request.
func (c *call) logEnd() {
	now := time.Now()
	fields := logger.Fields{
		"request": c.request.ID, "status": c.status, "outcome": c.outcome, "sends": c.sends,
		"total_ms": now.Sub(c.arrivedAt).Milliseconds(), "configuration": c.version,
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
	if !c.headWrittenAt.IsZero() {
		fields["first_ms"] = c.headWrittenAt.Sub(c.arrivedAt).Milliseconds()
		fields["late"] = c.missedTarget()
	}
	if c.longestGap > 0 {
		fields["gap_ms"] = c.longestGap.Milliseconds()
	}
	if c.resumes > 0 {
		fields["resumed"] = c.resumes
	}
	if d := c.drain.Load(); d != nil {
		fields["shutdown_ms"] = now.Sub(d.BeganAt).Milliseconds()
	}
	if c.Meter != nil {
		c.Meter.CountRequest(c.organisation, c.outcome)
	}
	if c.lastErr != nil {
		c.Log.Failure("request", c.lastErr, fields)
		return
	}
	c.Log.Event("request", fields)
}

// missedTarget returns which latency target of the route the response missed: "first"
// for its first event, "gap" for the time between events, or "no" for none.
func (c *call) missedTarget() string {
	switch {
	case c.route.LatencyTarget > 0 && c.headWrittenAt.Sub(c.arrivedAt) > c.route.LatencyTarget:
		return "first"
	case c.route.GapTarget > 0 && c.longestGap > c.route.GapTarget:
		return "gap"
	default:
		return "no"
	}
}

// prepare finds the route and the caller's organisation, and reads the body. It
// returns false if it has responded with an error.
func (c *call) prepare() bool {
	configuration := c.awaitCatalogue()
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
	c.priorityClass = prioritiser.Class(c.route.Priority)
	if o != nil {
		c.organisation = o.Name
		if o.HasPriority {
			c.priorityClass = prioritiser.Class(o.Priority)
		}
	}
	c.service = configuration.Services[c.route.PickService(rand.Float64())]
	limit := configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = _defaultBodyLimit
	}
	body, err := c.readBody(limit)
	if err != nil {
		c.refuseBody(err)
		return false
	}
	c.body = body
	c.requests.Add(1)
	c.arrivals.count(c.arrivedAt)
	c.Budget.RecordRequest(c.service.Name, c.arrivedAt)
	c.deadline = c.arrivedAt.Add(c.timeout())
	c.progress.update(func(s *state) { s.completeAt, s.deadline = time.Now(), c.deadline })
	return true
}

// timeout returns how long the request may take: the timeout of the route, or that of
// the caller if it is shorter.
func (c *call) timeout() time.Duration {
	d := _defaultTimeout
	if c.route != nil && c.route.Timeout > 0 {
		d = c.route.Timeout
	}
	if c.request.Timeout > 0 {
		d = min(d, c.request.Timeout)
	}
	return d
}

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// refuse responds that the request has not run and never will, and says after what
// time the caller should retry.
func (c *call) refuse(status int, reason string) { c.refuseFor(status, reason, c.retryAfter()) }

// refuseFor is refuse for a caller who should retry after the given time.
func (c *call) refuseFor(status int, reason string, after time.Duration) {
	c.Protocol.Refuse(c.w.Header(), c.request.ID, after)
	if c.Meter != nil {
		c.Meter.CountRefusal(reason)
	}
	c.respond(status, reason)
}

// retryAfter returns the time after which a refused caller should retry.
func (c *call) retryAfter() time.Duration {
	left := c.timeout()
	if !c.deadline.IsZero() {
		left = time.Until(c.deadline)
	}
	return admitter.RetryAfter(left, rand.Float64())
}

// fail responds with an error that does not say whether the request has run. Errors of the
// caller count as refusals.
func (c *call) fail(status int, reason string) {
	if status < http.StatusInternalServerError && c.Meter != nil {
		c.Meter.CountRefusal(reason)
	}
	c.respond(status, reason)
}

// respond sends a response with the reason as its body.
func (c *call) respond(status int, reason string) {
	c.status, c.outcome = status, reason
	c.headWritten = true
	c.beginResponse()
	c.boundDiscard()
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, "lycheebarrow: "+reason+"\n")
}
