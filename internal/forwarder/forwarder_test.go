package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

const _whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// upstream answers each request on each connection with the next of its texts;
// an empty one closes the connection.
type upstream struct {
	address  string
	accepted atomic.Int32
	requests chan string
}

func newUpstream(t *testing.T, texts ...string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	u := &upstream{address: l.Addr().String(), requests: make(chan string, 16)}
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

func (u *upstream) serve(c net.Conn, next chan string) {
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

func send(t *testing.T, p *forwarder.Pool, u *upstream) (*forwarder.Exchange, error) {
	return p.Send(t.Context(), u.address, &forwarder.Request{
		Method: http.MethodPost, Target: "/a/b?c=%20d", Host: "h", Header: http.Header{"X": {"y"}}, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
}

func TestSend(t *testing.T) {
	testCases := []struct {
		name string
		// texts are the upstream's answers; "!" at the end closes the connection.
		texts []string
		// bodies are what the sends bring: a body, "broken: " and a body, or "fail".
		bodies []string
		// connections is how many were opened.
		connections int32
	}{
		{name: "kept", texts: []string{_whole, _whole}, bodies: []string{"ok", "ok"}, connections: 1},
		{name: "close asked", texts: []string{strings.Replace(_whole, "Id", "Connection: close\r\nId", 1), _whole}, bodies: []string{"ok", "ok"}, connections: 2},
		{name: "bytes after the answer", texts: []string{_whole + "junk", _whole}, bodies: []string{"ok", "ok"}, connections: 2},
		{name: "no answer", texts: []string{"", _whole}, bodies: []string{"fail", "ok"}, connections: 2},
		{name: "no HTTP", texts: []string{"hello\r\n\r\n", _whole}, bodies: []string{"fail", "ok"}, connections: 2},
		{name: "body cut", texts: []string{strings.Replace(_whole, "2\r\n", "9\r\n", 1) + "!", _whole}, bodies: []string{"broken: ok", "ok"}, connections: 2},
		{name: "no length", texts: []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok!", _whole}, bodies: []string{"ok", "ok"}, connections: 2},
		{name: "interim answer", texts: []string{"HTTP/1.1 100 Continue\r\n\r\n" + _whole}, bodies: []string{"ok"}, connections: 1},
		{name: "another's answer first", texts: []string{strings.Replace(_whole, "Id: 1", "Id: 2", 1) + _whole}, bodies: []string{"ok"}, connections: 1},
		{name: "only others' answers", texts: []string{strings.Repeat(strings.Replace(_whole, "Id: 1", "Id: 2", 1), 3)}, bodies: []string{"fail"}, connections: 1},
		{name: "chunks", texts: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", _whole}, bodies: []string{"ok", "ok"}, connections: 1},
		{name: "chunks without an end", texts: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n!"}, bodies: []string{"broken: ok"}, connections: 1},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, tc.texts...)
			p := &forwarder.Pool{Network: networker.System{}}
			defer p.Close()
			for _, want := range tc.bodies {
				assert.Equal(t, want, result(t, p, u))
				assert.Equal(t, "POST /a/b?c=%20d h body", <-u.requests)
			}
			assert.Equal(t, tc.connections, u.accepted.Load())
		})
	}
}

// result sends a request and tells what came.
func result(t *testing.T, p *forwarder.Pool, u *upstream) string {
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

// A request that found no connection was not sent.
func TestSendWithoutListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{address: l.Addr().String()}
	l.Close()
	p := &forwarder.Pool{Network: networker.System{}}
	_, err = send(t, p, u)
	var f *forwarder.ExchangeError
	require.ErrorAs(t, err, &f)
	assert.False(t, f.Sent)
}

// The end of the context breaks an answer off, also while it is read.
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
