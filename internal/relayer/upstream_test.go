package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// protocol is a relayer.Protocol with short header names.
type protocol struct{}

func (protocol) Request(h http.Header) relayer.Request {
	last, _ := strconv.ParseUint(h.Get("Last"), 10, 64)
	timeout, _ := time.ParseDuration(h.Get("Wait"))
	return relayer.Request{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), LastEvent: last, Timeout: timeout}
}

func (protocol) Forward(h http.Header, f relayer.Forward) http.Header {
	out := http.Header{"Id": h["Id"], "Event": h["Event"], "Priority": {strconv.Itoa(f.Priority)}}
	if f.LastEvent > 0 {
		out.Set("Last", strconv.FormatUint(f.LastEvent, 10))
	}
	return out
}

func (protocol) Response(h http.Header) relayer.Response {
	wait, _ := time.ParseDuration(h.Get("Ask"))
	return relayer.Response{ID: h.Get("Id"), Signed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Wait: wait}
}

func (protocol) IsEventField(name string) bool { return name == "weights" }

func (protocol) Refuse(h http.Header, _ string, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

// upstreamHandler returns an upstream's handler that responds as behaviour says, and
// counts the requests that it runs. For plain services, behaviour is one of "ok",
// "500", "503", "not-run" (refuses the request), "cut" (closes the connection without
// a response), "unsigned", "silent" (never responds), "stalled" (sends the head alone) and
// "endless" (sends a body without end). For streams it is "N", the number of events, alone or
// followed by "cut" (closes the connection after the last event), "torn" (closes the
// connection in the middle of another event), "endless" (sends another event without
// end), "text" or "data" (sends such a line and a blank line before the last event),
// "stalled" (sends nothing more), "paused" (pauses for longer than a silence before the
// last event), "skip" (gives the last event an id that is one too high) or "unframed" (sends
// neither a length nor chunks and closes the connection), which may also be torn.
func upstreamHandler(behaviour string, runs *atomic.Int32) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		word, ending, _ := strings.Cut(behaviour, " ")
		w.Header().Set("Id", r.Header.Get("Id"))
		if word == "not-run" {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		runs.Add(1)
		if word == "cut" {
			panic(http.ErrAbortHandler)
		}
		if word == "silent" {
			waitForClose(r)
		}
		if word != "unsigned" {
			w.Header().Set("Seal", "s")
		}
		if status, err := strconv.Atoi(word); err == nil && status >= 500 {
			w.WriteHeader(status)
			return
		}
		if word == "endless" {
			sendEndless(w)
			return
		}
		if word == "stalled" {
			_ = http.NewResponseController(w).Flush()
			waitForClose(r)
		}
		count, err := strconv.Atoi(word)
		if err != nil {
			_, _ = io.WriteString(w, "done")
			return
		}
		from, _ := strconv.Atoi(r.Header.Get("Last"))
		if strings.HasPrefix(ending, "unframed") {
			sendUnframed(w, from, count, ending == "unframed torn")
			return
		}
		for n := from + 1; n <= count; n++ {
			if ending == "skip" && n == count {
				n++
			}
			if ending == "paused" && n == count {
				time.Sleep(900 * time.Millisecond)
			}
			if ending == "text" && n == count {
				_, _ = io.WriteString(w, "no event\n\n")
			}
			if ending == "data" && n == count {
				_, _ = io.WriteString(w, "data: y\n\n")
			}
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = http.NewResponseController(w).Flush()
		}
		switch ending {
		case "stalled":
			waitForClose(r)
		case "endless":
			sendEndless(w)
		case "torn":
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "cut":
			panic(http.ErrAbortHandler)
		}
	})
}

// waitForClose waits until the relayer closes the connection, and ends the handler.
func waitForClose(r *http.Request) {
	// The close is noticed only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// sendUnframed sends the events after from up to count, on a connection that ends with
// them. If torn is true, it ends in the middle of another event.
func sendUnframed(w http.ResponseWriter, from, count int, torn bool) {
	h := w.Header()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\n\r\n", h.Get("Id"))
	for n := from + 1; n <= count; n++ {
		fmt.Fprintf(c, "id: %d\ndata: x\n\n", n)
	}
	if torn {
		_, _ = io.WriteString(c, "id: 99\nda")
	}
}

// sendEndless sends bytes without an end of a line until the connection is closed.
func sendEndless(w http.ResponseWriter) {
	block := []byte(strings.Repeat("x", 64<<10))
	var err error
	for err == nil {
		_, err = w.Write(block)
	}
}

// startStaleUpstream starts an upstream that keeps one connection, on which it precedes
// each response but the first with a copy of the response before, without its id.
func startStaleUpstream(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		requests := bufio.NewReader(c)
		stale := ""
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			body := "done " + r.Header.Get("Id")
			response := fmt.Sprintf("Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\n%s", stale, r.Header.Get("Id"), response)
			stale = "HTTP/1.1 200 OK\r\n" + response
		}
	}()
	return l.Addr().String()
}

// startRelayer starts a relayer with one route to upstreams that are tried in the
// given order, one for each behaviour.
func startRelayer(t *testing.T, kind cataloguer.Kind, resumable bool, behaviours []string, runs *atomic.Int32) *httptest.Server {
	k := &cataloguer.Catalogue{}
	service := cataloguer.Service{Name: "s"}
	if kind == cataloguer.KindStream {
		service.Engine = &cataloguer.Engine{Slots: 9}
	}
	c := &cataloguer.Configuration{
		Version: 1, Services: map[string]cataloguer.Service{"s": service}, Organisations: []cataloguer.Organisation{{Name: "o", Keys: []string{"k"}}},
		Routes: []cataloguer.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/a/", Kind: kind, Timeout: 5 * time.Second, LatencyTarget: time.Second,
			Split: []cataloguer.ServiceWeight{{Service: "s", Weight: 1}}, Attempts: 2, Resumable: resumable,
		}},
	}
	c.Index()
	k.SetConfiguration(c)
	fleet := make(map[string]cataloguer.Upstream)
	b := &balancer.Balancer{}
	for i, x := range behaviours {
		u := httptest.NewServer(upstreamHandler(x, runs))
		t.Cleanup(u.Close)
		id := fmt.Sprint(i)
		fleet[id] = cataloguer.Upstream{
			ID: id, Service: "s", Address: u.Listener.Addr().String(), Slots: 9,
			Group: cataloguer.Membership{Name: "g", State: cataloguer.MemberOpen},
		}
		// Each upstream has more in flight than the one before, so that the balancer
		// tries them in order.
		for range i {
			b.Acquire([]cataloguer.Upstream{fleet[id]}, balancer.Query{})
		}
	}
	k.SetFleet(cataloguer.NewFleet(1, fleet))
	s := httptest.NewServer(newRelayer(k, b))
	t.Cleanup(s.Close)
	return s
}

func newRelayer(k *cataloguer.Catalogue, b *balancer.Balancer) *relayer.Relayer {
	return &relayer.Relayer{
		Catalogue: k, Protocol: protocol{}, Pool: &forwarder.Pool{Network: networker.System{}}, Balancer: b, Screener: &screener.Screener{},
		Budget:   &budgeter.Budget{Window: time.Minute, Slack: 100},
		Watchdog: &relayer.Watchdog{Balancer: b, Log: logger.Logger{}},
	}
}

// sendRequest sends a request and returns the status of the response, followed by
// "done" for the body of a plain service, by the ids of the events for a stream, by lines that
// no upstream sends in an event, by "broken" if the body broke off, and by "retry" if the response has a Retry-After
// header.
func sendRequest(t *testing.T, s *httptest.Server, path, key string) string {
	return sendRequestWith(t, s, path, http.Header{"Id": {"1"}, "Key": {key}})
}

func sendRequestWith(t *testing.T, s *httptest.Server, path string, h http.Header) string {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+path, strings.NewReader("body"))
	require.NoError(t, err)
	host, _, err := net.SplitHostPort(req.URL.Host)
	require.NoError(t, err)
	req.Host = host
	req.Header = h
	res, err := s.Client().Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	out := fmt.Sprint(res.StatusCode)
	if res.Header.Get("Retry-After") != "" {
		return out + " retry"
	}
	if res.StatusCode != http.StatusOK {
		return out
	}
	if string(body) == "done" {
		return out + " done"
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		id, ok := strings.CutPrefix(line, "id: ")
		switch {
		case ok:
			out += " " + id
		case line != "" && line != "data: x":
			out += " " + line
		}
	}
	if err != nil {
		out += " broken"
	}
	return out
}

// oneRoute returns a catalogue of one service, "s", with a route to it on all paths of 127.0.0.1,
// whose name, host, prefix and split are set here, and with the given upstreams.
func oneRoute(route cataloguer.Route, upstreams ...cataloguer.Upstream) *cataloguer.Catalogue {
	route.Name, route.Host, route.Prefix, route.Split = "r", "127.0.0.1", "/", []cataloguer.ServiceWeight{{Service: "s", Weight: 1}}
	c := &cataloguer.Configuration{Version: 1, Services: map[string]cataloguer.Service{"s": {Name: "s"}}, Routes: []cataloguer.Route{route}}
	c.Index()
	fleet := make(map[string]cataloguer.Upstream)
	for _, u := range upstreams {
		u.Service = "s"
		fleet[u.ID] = u
	}
	k := &cataloguer.Catalogue{}
	k.SetConfiguration(c)
	k.SetFleet(cataloguer.NewFleet(1, fleet))
	return k
}
