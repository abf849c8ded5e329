package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// copyingUpstream is an upstream that refuses the first request with an id, asks to wait,
// and runs any later one. It precedes the response to a later request with a copy of the
// refusal, if that was sent on the same connection.
type copyingUpstream struct {
	arrived sync.Map
	runs    atomic.Int32
}

// start returns the address that the upstream listens on.
func (u *copyingUpstream) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go u.serve(c)
		}
	}()
	return l.Addr().String()
}

func (u *copyingUpstream) serve(c net.Conn) {
	defer c.Close()
	refusals := make(map[string]string)
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		if _, again := u.arrived.LoadOrStore(id, true); !again {
			refusals[id] = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nAsk: 1h\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(c, refusals[id])
			continue
		}
		u.runs.Add(1)
		body := "id: 1\ndata: x\n\n"
		fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", refusals[id], id, len(body), body)
	}
}

// startRelayerOf starts a relayer with one route to upstreams at the given addresses, which
// are tried in this order.
func startRelayerOf(t *testing.T, kind cataloguer.Kind, resumable bool, addresses ...string) *httptest.Server {
	k, b := &cataloguer.Catalogue{}, &balancer.Balancer{}
	service := cataloguer.Service{Name: "s"}
	if kind == cataloguer.KindStream {
		service.Engine = &cataloguer.Engine{Slots: 9}
	}
	c := &cataloguer.Configuration{
		Version: 1, Services: map[string]cataloguer.Service{"s": service},
		Routes: []cataloguer.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: kind, Timeout: 5 * time.Second, LatencyTarget: time.Second,
			Split: []cataloguer.ServiceWeight{{Service: "s", Weight: 1}}, Attempts: 2, Resumable: resumable,
		}},
	}
	c.Index()
	k.SetConfiguration(c)
	fleet := make(map[string]cataloguer.Upstream)
	for n, address := range addresses {
		id := fmt.Sprint(n)
		u := cataloguer.Upstream{ID: id, Service: "s", Address: address, Slots: 9, Group: cataloguer.Membership{Name: "g", State: cataloguer.MemberOpen}}
		fleet[id] = u
		for range n {
			b.Acquire([]cataloguer.Upstream{u}, balancer.Query{})
		}
	}
	k.SetFleet(cataloguer.NewFleet(1, fleet))
	s := httptest.NewServer(newRelayer(k, b))
	t.Cleanup(s.Close)
	return s
}

// A request that an upstream refused is sent to the same address under another id, where
// the copy of the refusal comes before the response.
func TestCopyOfRefusalIsNoPromise(t *testing.T) {
	testCases := []struct {
		name      string
		kind      cataloguer.Kind
		resumable bool
		// upstreams is the number of upstream ids at the address.
		upstreams int
	}{
		{name: "unsafe, refused although it ran", kind: cataloguer.KindUnsafe, upstreams: 2},
		{name: "unsafe, run twice", kind: cataloguer.KindUnsafe, upstreams: 3},
		{name: "safe, refused although it ran", kind: cataloguer.KindSafe, upstreams: 2},
		{name: "safe, run again beyond its attempts", kind: cataloguer.KindSafe, upstreams: 3},
		{name: "stream, run twice", kind: cataloguer.KindStream, upstreams: 3},
		{name: "resumable stream, run again beyond its attempts", kind: cataloguer.KindStream, resumable: true, upstreams: 3},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var u copyingUpstream
			s := startRelayerOf(t, tc.kind, tc.resumable, slices.Repeat([]string{u.start(t)}, tc.upstreams)...)
			assert.Equal(t, "200 1", sendRequest(t, s, "/x", ""))
			assert.Equal(t, int32(1), u.runs.Load())
		})
	}
}

// The notices of a copied refusal say nothing of the upstream that the request is sent to.
func TestCopyOfRefusalAsksForNoWait(t *testing.T) {
	var u copyingUpstream
	address := u.start(t)
	s := startRelayerOf(t, cataloguer.KindUnsafe, false, address, address)
	assert.Equal(t, "200 1", sendRequest(t, s, "/x", ""))
	u.arrived.Store("2", true)
	assert.Equal(t, "200 1", sendRequestWith(t, s, "/x", http.Header{"Id": {"2"}}))
}

// startRepeatingUpstream starts an upstream that precedes each response on a connection with
// a copy of the one before, without its id. It returns its address.
func startRepeatingUpstream(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		stale := ""
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			body := fmt.Sprintf("id: %s\n\n", req.Header.Get("Event"))
			response := fmt.Sprintf("Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\n%s", stale, req.Header.Get("Id"), response)
			stale = "HTTP/1.1 200 OK\r\n" + response
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// A request without an id does not get the late response to another one.
func TestStaleResponseToRequestWithoutID(t *testing.T) {
	s := startRelayerOf(t, cataloguer.KindSafe, false, startRepeatingUpstream(t))
	assert.Equal(t, "200 1", sendRequestWith(t, s, "/x", http.Header{"Id": {"a"}, "Event": {"1"}}))
	assert.Equal(t, "200 2", sendRequestWith(t, s, "/x", http.Header{"Event": {"2"}}))
	assert.Equal(t, "200 3", sendRequestWith(t, s, "/x", http.Header{"Event": {"3"}}))
	assert.Equal(t, "200 4", sendRequestWith(t, s, "/x", http.Header{"Id": {"b"}, "Event": {"4"}}))
}
