package server_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/recorder"
	"github.com/lycheebarrow/lycheebarrow/internal/server"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _callDocument is a configuration with an unrepeatable service, lodgement, and a
// repeatable one, status.
var _callDocument = fmt.Sprintf(`{
	"organisations": {"acme": {"keys_sha256": [%q]}, "bazaar": {"keys_sha256": [%q]}},
	"services": {
		"lodgement": {"unrepeatable": true, "timeout_ms": 3000, "upstreams": {
			"s1": {"address": "10.0.0.1:80", "data_centre": "near"}, "s2": {"address": "10.0.0.2:80", "data_centre": "far"}}},
		"status": {"timeout_ms": 3000, "upstreams": {
			"s1": {"address": "10.0.0.1:80", "data_centre": "near"}, "s2": {"address": "10.0.0.2:80", "data_centre": "far"}}}
	}}`, authenticator.Digest("acme-key"), authenticator.Digest("bazaar-key"))

// serviceFault is the fault that a fake upstream has with a call.
type serviceFault string

const (
	_serviceHealthy     serviceFault = ""
	_serviceUnreachable serviceFault = "unreachable" // refuses connections
	_serviceRefuses     serviceFault = "refuses"     // responds that the call did not run
	_serviceCutsBefore  serviceFault = "cuts before" // closes the connection without running the call
	_serviceCutsAfter   serviceFault = "cuts after"  // runs the call and closes the connection without a response
	_serviceSlow        serviceFault = "slow"        // runs the call and responds only after the timeout
	_serviceFails       serviceFault = "fails"       // runs the call and responds with status 500
)

// _headerTestRequest carries a test's own request id to the service.
const _headerTestRequest = "Test-Request"

// fakeServices is a ServiceClient that stands in for all upstreams of all
// services.
type fakeServices struct {
	mu            sync.Mutex
	faults        map[string]serviceFault // by address
	delay         time.Duration
	receiptSuffix string         // appended to each receipt
	runsByKey     map[string]int // by idempotency key
	runsByRequest map[string]int // by the test's request id
	sentTo        []string       // addresses, in the order of the calls
	lastCall      serviceclient.Call
}

func (s *fakeServices) Send(ctx context.Context, c serviceclient.Call) (serviceclient.Result, error) {
	s.mu.Lock()
	f, delay := s.faults[c.Address], s.delay
	s.sentTo = append(s.sentTo, c.Address)
	s.lastCall = c
	s.mu.Unlock()
	errReset := errors.New("connection reset")
	switch f {
	case _serviceUnreachable:
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, serviceclient.ErrNotSent
	case _serviceRefuses:
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Status: http.StatusServiceUnavailable, Body: []byte("closed today")}, nil
	case _serviceCutsBefore:
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, errReset
	}
	key := c.Header.Get(server.HeaderIdempotencyKey)
	s.mu.Lock()
	if s.runsByKey == nil {
		s.runsByKey, s.runsByRequest = make(map[string]int), make(map[string]int)
	}
	s.runsByKey[key]++
	s.runsByRequest[c.Header.Get(_headerTestRequest)]++
	s.mu.Unlock()
	if f == _serviceSlow {
		<-ctx.Done()
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, ctx.Err()
	}
	time.Sleep(delay)
	if f == _serviceCutsAfter {
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, errReset
	}
	out := serviceclient.Result{
		Outcome: wire.Outcome_OUTCOME_RAN, Status: http.StatusCreated, Body: []byte("receipt of " + key + s.receiptSuffix),
		Header: http.Header{"Content-Type": {"text/plain"}, "Location": {"/receipts/" + key}, "Set-Cookie": {"a=b"}},
	}
	if f == _serviceFails {
		out.Status = http.StatusInternalServerError
	}
	return out, nil
}

// fakePlatform is the platform's object API in memory. The zero value is ready
// for use.
type fakePlatform struct {
	mu          sync.Mutex
	objects     map[string]storer.Object
	version     uint64
	unavailable bool
	// loseResponses is how many of the next writes take effect although their
	// responses are lost. delayWrites is how many of the next writes get no
	// response and take effect _platformWriteDelay later.
	loseResponses, delayWrites int
}

// _platformWriteDelay is how much later a delayed write takes effect.
const _platformWriteDelay = 1700 * time.Millisecond

func (p *fakePlatform) Get(_ context.Context, key string) (storer.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[key]
	switch {
	case p.unavailable:
		return storer.Object{}, storer.ErrUnavailable
	case !ok:
		return storer.Object{}, storer.ErrNotFound
	}
	return o, nil
}

func (p *fakePlatform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	const poll = 50 * time.Millisecond
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(poll) {
		if o, err := p.Get(ctx, key); err == nil && o.Version > after {
			return o, nil
		}
	}
	return storer.Object{}, storer.ErrUnchanged
}

func (p *fakePlatform) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	if ctx.Err() != nil {
		return 0, storer.ErrUnavailable
	}
	return p.write(key, 0, value)
}

func (p *fakePlatform) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	return p.write(key, version, value)
}

func (p *fakePlatform) write(key string, version uint64, value []byte) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return 0, storer.ErrUnavailable
	}
	if p.delayWrites > 0 {
		p.delayWrites--
		time.AfterFunc(_platformWriteDelay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			_, _ = p.apply(key, version, value)
		})
		return 0, storer.ErrUncertain
	}
	v, err := p.apply(key, version, value)
	if p.loseResponses > 0 {
		p.loseResponses--
		return 0, storer.ErrUncertain
	}
	return v, err
}

func (p *fakePlatform) apply(key string, version uint64, value []byte) (uint64, error) {
	if p.objects[key].Version != version {
		return 0, storer.ErrConflict
	}
	if p.objects == nil {
		p.objects = make(map[string]storer.Object)
	}
	p.version++
	p.objects[key] = storer.Object{Key: key, Version: p.version, Value: value}
	return p.version, nil
}

// entry is one process that serves plain services.
type entry struct {
	recorder *recorder.Recorder
	server   *server.Server
	handler  http.Handler
}

func newEntry(name string, store recorder.Store, services server.ServiceClient, leaving server.ServicePoller) *entry {
	c := configurer.New(nil, nil, logger.Logger{})
	if !c.ApplyRecord(&wire.ConfigurationRecord{Number: 1, Document: _callDocument}, "test") {
		panic("the configuration document is invalid")
	}
	r := recorder.New(store, logger.Logger{})
	s := &server.Server{Configuration: c, ServiceClient: services, Recorder: r, ServicePoller: leaving, Process: name, DataCentre: "near", MaxBodyBytes: 1 << 20}
	return &entry{recorder: r, server: s, handler: s.Handler()}
}

// callOptions describe a call; the zero value is a POST to lodgement without an
// idempotency key.
type callOptions struct {
	service, method, key, organisation, body, request string
}

func (e *entry) call(ctx context.Context, o callOptions) *httptest.ResponseRecorder {
	orDefault := func(value, otherwise string) string {
		if value == "" {
			return otherwise
		}
		return value
	}
	r := httptest.NewRequestWithContext(ctx, orDefault(o.method, http.MethodPost),
		"/services/"+orDefault(o.service, "lodgement")+"/lodge%20it?fee=1", strings.NewReader(orDefault(o.body, "body")))
	r.Header.Set("Authorization", "Bearer "+orDefault(o.organisation, "acme")+"-key")
	r.Header.Set(_headerTestRequest, o.request)
	if o.key != "" {
		r.Header.Set(server.HeaderIdempotencyKey, o.key)
	}
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	return w
}
