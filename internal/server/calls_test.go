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

// callDocument has one service that may not be repeated and one that may.
var callDocument = fmt.Sprintf(`{
	"organisations": {"acme": {"keys_sha256": [%q]}, "bazaar": {"keys_sha256": [%q]}},
	"services": {
		"lodgement": {"unrepeatable": true, "timeout_ms": 3000, "upstreams": {
			"s1": {"address": "10.0.0.1:80", "data_centre": "near"}, "s2": {"address": "10.0.0.2:80", "data_centre": "far"}}},
		"status": {"timeout_ms": 3000, "upstreams": {
			"s1": {"address": "10.0.0.1:80", "data_centre": "near"}, "s2": {"address": "10.0.0.2:80", "data_centre": "far"}}}
	}}`, authenticator.Digest("acme-key"), authenticator.Digest("bazaar-key"))

// serviceFault is what happens to one call at a service.
type serviceFault string

const (
	serviceFine       serviceFault = ""
	serviceAway       serviceFault = "away"        // refuses connections
	serviceRefuses    serviceFault = "refuses"     // answers that it did not run
	serviceCutsBefore serviceFault = "cuts before" // cuts without running
	serviceCutsAfter  serviceFault = "cuts after"  // runs and cuts
	serviceSlow       serviceFault = "slow"        // runs and answers too late
	serviceFails      serviceFault = "fails"       // runs and answers 500
)

// headerAttempt carries a test's request id to the service.
const headerAttempt = "Test-Request"

// services is every upstream in one, as an entry's Caller sees it.
type services struct {
	mu     sync.Mutex
	faults map[string]serviceFault // by address
	delay  time.Duration
	more   string         // follows each receipt
	runs   map[string]int // by key
	ranFor map[string]int // by request
	sent   []string       // addresses in order
	last   serviceclient.Call
}

func (s *services) Send(ctx context.Context, c serviceclient.Call) (serviceclient.Result, error) {
	s.mu.Lock()
	f, delay := s.faults[c.Address], s.delay
	s.sent = append(s.sent, c.Address)
	s.last = c
	s.mu.Unlock()
	broken := errors.New("connection reset")
	switch f {
	case serviceAway:
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, serviceclient.ErrNotSent
	case serviceRefuses:
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Status: http.StatusServiceUnavailable, Body: []byte("closed today")}, nil
	case serviceCutsBefore:
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, broken
	}
	key := c.Header.Get(server.HeaderIdempotencyKey)
	s.mu.Lock()
	if s.runs == nil {
		s.runs, s.ranFor = make(map[string]int), make(map[string]int)
	}
	s.runs[key]++
	s.ranFor[c.Header.Get(headerAttempt)]++
	s.mu.Unlock()
	if f == serviceSlow {
		<-ctx.Done()
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, ctx.Err()
	}
	time.Sleep(delay)
	if f == serviceCutsAfter {
		return serviceclient.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, broken
	}
	out := serviceclient.Result{
		Outcome: wire.Outcome_OUTCOME_RAN, Status: http.StatusCreated, Body: []byte("receipt of " + key + s.more),
		Header: http.Header{"Content-Type": {"text/plain"}, "Location": {"/receipts/" + key}, "Set-Cookie": {"a=b"}},
	}
	if f == serviceFails {
		out.Status = http.StatusInternalServerError
	}
	return out, nil
}

// platform is the object API in memory. The zero value is ready for use.
type platform struct {
	mu      sync.Mutex
	objects map[string]storer.Object
	version uint64
	out     bool
	// lose and late count the next writes whose answers are lost, after taking
	// effect and before.
	lose, late int
}

const platformLateness = 1700 * time.Millisecond

func (p *platform) Get(_ context.Context, key string) (storer.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[key]
	switch {
	case p.out:
		return storer.Object{}, storer.ErrUnavailable
	case !ok:
		return storer.Object{}, storer.ErrNotFound
	}
	return o, nil
}

func (p *platform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (storer.Object, error) {
	const poll = 50 * time.Millisecond
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(poll) {
		if o, err := p.Get(ctx, key); err == nil && o.Version > after {
			return o, nil
		}
	}
	return storer.Object{}, storer.ErrUnchanged
}

func (p *platform) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	if ctx.Err() != nil {
		return 0, storer.ErrUnavailable
	}
	return p.write(key, 0, value)
}

func (p *platform) Update(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	return p.write(key, version, value)
}

func (p *platform) write(key string, version uint64, value []byte) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out {
		return 0, storer.ErrUnavailable
	}
	if p.late > 0 {
		p.late--
		time.AfterFunc(platformLateness, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			_, _ = p.apply(key, version, value)
		})
		return 0, storer.ErrUncertain
	}
	v, err := p.apply(key, version, value)
	if p.lose > 0 {
		p.lose--
		return 0, storer.ErrUncertain
	}
	return v, err
}

func (p *platform) apply(key string, version uint64, value []byte) (uint64, error) {
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

// entry is one server for plain services.
type entry struct {
	recorder *recorder.Recorder
	handler  http.Handler
}

func newEntry(name string, store recorder.Store, to server.ServiceClient, leaving server.Surveyor) *entry {
	c := configurer.New(nil, nil, logger.Logger{})
	if !c.ApplyRecord(&wire.ConfigurationRecord{Number: 1, Document: callDocument}, "test") {
		panic("the document is bad")
	}
	r := recorder.New(store, logger.Logger{})
	s := &server.Server{Configuration: c, ServiceClient: to, Recorder: r, Surveyor: leaving, Process: name, DataCentre: "near", MaxBodyBytes: 1 << 20}
	return &entry{recorder: r, handler: s.Handler()}
}

// callOptions describe a call; the zero value is an unkeyed POST to lodgement.
type callOptions struct {
	service, method, key, organisation, body, request string
}

func (e *entry) call(ctx context.Context, o callOptions) *httptest.ResponseRecorder {
	def := func(value, otherwise string) string {
		if value == "" {
			return otherwise
		}
		return value
	}
	r := httptest.NewRequestWithContext(ctx, def(o.method, http.MethodPost),
		"/services/"+def(o.service, "lodgement")+"/lodge%20it?fee=1", strings.NewReader(def(o.body, "body")))
	r.Header.Set("Authorization", "Bearer "+def(o.organisation, "acme")+"-key")
	r.Header.Set(headerAttempt, o.request)
	if o.key != "" {
		r.Header.Set(server.HeaderIdempotencyKey, o.key)
	}
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	return w
}
