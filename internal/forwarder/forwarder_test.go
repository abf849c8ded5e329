package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

const _completeResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// scriptedUpstream answers each request with the next of its texts, whichever
// connection the request arrives on; an empty text closes the connection.
type scriptedUpstream struct {
	address  string
	accepted atomic.Int32
	sends    atomic.Int32
	requests chan string
}

func newUpstream(t *testing.T, texts ...string) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	u := &scriptedUpstream{address: l.Addr().String(), requests: make(chan string, 16)}
	next := make(chan string, len(texts))
	for _, x := range texts {
		next <- x
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted.Add(1)
			go u.serve(c, next)
		}
	}()
	return u
}

// serve answers the requests of one connection.
func (u *scriptedUpstream) serve(c net.Conn, next chan string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		u.requests <- req.Method + " " + req.RequestURI + " " + req.Host + " " + string(body)
		text := <-next
		if text == "" {
			return
		}
		head, broken := strings.CutSuffix(text, "!")
		_, _ = io.WriteString(c, head)
		if broken {
			return
		}
	}
}

// send sends a request, each with another id, that accepts only a response with the header
// Id: 1.
func send(t *testing.T, p *forwarder.Pool, u *scriptedUpstream) (*forwarder.Exchange, error) {
	return sendOnce(t, p, u, false)
}

// sendOnce is send for a request that may run only once if once is true.
func sendOnce(t *testing.T, p *forwarder.Pool, u *scriptedUpstream, once bool) (*forwarder.Exchange, error) {
	return p.Send(t.Context(), u.address, &forwarder.Request{
		Method: http.MethodPost, Target: "/a/b?c=%20d", Host: "h", ID: strconv.Itoa(int(u.sends.Add(1))), Once: once, Header: http.Header{"X": {"y"}}, Body: []byte("body"),
		Matches: func(h http.Header, _ bool) bool { return h.Get("Id") == "1" },
	})
}

func TestSend(t *testing.T) {
	testCases := []struct {
		name string
		// texts are the responses of the upstream; "!" at the end closes the
		// connection.
		texts []string
		// bodies are the results of the sends: a body, "broken: " and an
		// incomplete body, or "fail".
		bodies []string
		// connections is how many connections were opened.
		connections int32
	}{
		{name: "connection reused", texts: []string{_completeResponse, _completeResponse}, bodies: []string{"ok", "ok"}, connections: 1},
		{name: "close requested", texts: []string{strings.Replace(_completeResponse, "Id", "Connection: close\r\nId", 1), _completeResponse}, bodies: []string{"ok", "ok"}, connections: 2},
		{name: "bytes after the response", texts: []string{_completeResponse + "junk", _completeResponse}, bodies: []string{"ok", "ok"}, connections: 2},
		{name: "no response", texts: []string{"", _completeResponse}, bodies: []string{"fail", "ok"}, connections: 2},
		{name: "not HTTP", texts: []string{"hello\r\n\r\n", _completeResponse}, bodies: []string{"fail", "ok"}, connections: 2},
		{name: "body truncated", texts: []string{strings.Replace(_completeResponse, "2\r\n", "9\r\n", 1) + "!", _completeResponse}, bodies: []string{"broken: ok", "ok"}, connections: 2},
		{name: "body without length", texts: []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok!", _completeResponse}, bodies: []string{"ok", "ok"}, connections: 2},
		{name: "interim response", texts: []string{"HTTP/1.1 100 Continue\r\n\r\n" + _completeResponse}, bodies: []string{"ok"}, connections: 1},
		{name: "stale response first", texts: []string{strings.Replace(_completeResponse, "Id: 1", "Id: 2", 1) + _completeResponse}, bodies: []string{"ok"}, connections: 1},
		{name: "only stale responses", texts: []string{strings.Repeat(strings.Replace(_completeResponse, "Id: 1", "Id: 2", 1), 3)}, bodies: []string{"fail"}, connections: 1},
		{name: "chunked body", texts: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", _completeResponse}, bodies: []string{"ok", "ok"}, connections: 1},
		{name: "chunked body without an end", texts: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n!"}, bodies: []string{"broken: ok"}, connections: 1},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, tc.texts...)
			p := &forwarder.Pool{Network: networker.System{}}
			defer p.Close()
			for _, want := range tc.bodies {
				assert.Equal(t, want, sendResult(t, p, u))
				assert.Equal(t, "POST /a/b?c=%20d h body", <-u.requests)
			}
			assert.Equal(t, tc.connections, u.accepted.Load())
		})
	}
}

// sendResult sends a request and returns what came back, in the form of bodies in
// TestSend.
func sendResult(t *testing.T, p *forwarder.Pool, u *scriptedUpstream) string {
	x, err := send(t, p, u)
	if err != nil {
		var f *forwarder.ExchangeError
		require.ErrorAs(t, err, &f)
		assert.True(t, f.Sent)
		return "fail"
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	if err != nil {
		return "broken: " + string(body)
	}
	return string(body)
}

// A request for which no connection could be opened was not sent.
func TestSendWithoutListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &scriptedUpstream{address: l.Addr().String()}
	l.Close()
	p := &forwarder.Pool{Network: networker.System{}}
	_, err = send(t, p, u)
	var f *forwarder.ExchangeError
	require.ErrorAs(t, err, &f)
	assert.False(t, f.Sent)
}

// The end of the context breaks off a response, also while its body is being
// read.
func TestSendCancelled(t *testing.T) {
	u := newUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	p := &forwarder.Pool{Network: networker.System{}}
	ctx, cancel := context.WithCancel(t.Context())
	x, err := p.Send(ctx, u.address, &forwarder.Request{Method: http.MethodGet, Target: "/", Host: "h"})
	require.NoError(t, err)
	half := make([]byte, 4)
	_, err = io.ReadFull(x, half)
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(x)
	assert.Error(t, err)
	x.Close()
}
