package relayer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/prioritiser"
	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
	"github.com/lycheebarrow/lycheebarrow/internal/reserver"
)

const (
	// _defaultTimeout bounds a request whose route and caller set no timeout.
	_defaultTimeout = 30 * time.Second
	// _defaultBodyLimit is the largest request body where the configuration sets no
	// limit, in bytes.
	_defaultBodyLimit = 4 << 20
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

	// nextUpstream is the upstream at which the watchdog has acquired a slot for the next send,
	// with a retry spent; nil if there is none.
	nextUpstream atomic.Pointer[cataloguer.Upstream]
	// loggedReason is why the latest look for an upstream found none; a stream that waits logs
	// a reason once.
	loggedReason balancer.Reason
	// retrySpent is true if a retry is spent for the next send.
	retrySpent bool
	// sends counts how often the request was sent to an upstream.
	sends int
	// sentAt is when the latest send began.
	sentAt time.Time
	// brokenAt is when the latest send of a stream ended before the stream did.
	brokenAt time.Time
	// tried has the id of each send's upstream.
	tried []string
	// runs counts the sends after which an upstream may have run the request.
	runs int
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
	c.progress.onSettle(c.settle)
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
	drainer.BodyOf(c.r.Context()).Complete()
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
