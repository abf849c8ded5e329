package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// newCopyingUpstream returns an upstream that refuses the first request with an id that
// begins with "r" and runs all others. On each connection it precedes a response with a
// copy of the last refusal.
func newCopyingUpstream(t *testing.T) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	u := &scriptedUpstream{address: l.Addr().String()}
	var arrived sync.Map
	serve := func(c net.Conn) {
		defer c.Close()
		lastRefusal := ""
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nran", id)
			_, again := arrived.LoadOrStore(id, true)
			refused := strings.HasPrefix(id, "r") && !again
			if refused {
				response = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 7\r\n\r\nrefused", id)
			}
			if _, err := io.WriteString(c, lastRefusal+response); err != nil {
				return
			}
			if refused {
				lastRefusal = response
			}
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			u.accepted.Add(1)
			go serve(c)
		}
	}()
	return u
}

// sendID sends a request with an id and returns the body of the response.
func sendID(t *testing.T, p *forwarder.Pool, u *scriptedUpstream, id string) string {
	x, err := p.Send(t.Context(), u.address, &forwarder.Request{
		Method: http.MethodGet, Target: "/", Host: "h", ID: id, Header: http.Header{"Id": {id}},
		Matches: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
	})
	require.NoError(t, err)
	body, err := io.ReadAll(x)
	require.NoError(t, err)
	require.NoError(t, x.Close())
	return string(body)
}

func TestCopyOfRefusalIsNotTheResponseToTheNextSend(t *testing.T) {
	testCases := []struct {
		name, ids, want string
		connections     int32
		// skipped and passedOver are counts of the pool.
		skipped, passedOver int64
	}{
		{name: "other requests", ids: "r1 a r2 b", want: "refused ran refused ran", connections: 1, skipped: 3, passedOver: 0},
		{name: "repeat at once", ids: "r1 r1", want: "refused ran", connections: 2, skipped: 0, passedOver: 1},
		{name: "repeat after another request", ids: "r1 a r1", want: "refused ran ran", connections: 2, skipped: 1, passedOver: 1},
		{name: "repeat of all", ids: "r1 r2 r1 r2 r1", want: "refused refused ran ran ran", connections: 3, skipped: 1, passedOver: 3},
		{name: "repeat of a request that ran", ids: "a r1 a", want: "ran refused ran", connections: 2, skipped: 0, passedOver: 1},
		{name: "first connection goes on", ids: "r1 r1 a b", want: "refused ran ran ran", connections: 2, skipped: 0, passedOver: 1},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			u := newCopyingUpstream(t)
			p := &forwarder.Pool{Network: networker.System{}}
			defer p.Close()
			var got []string
			for id := range strings.FieldsSeq(tc.ids) {
				got = append(got, sendID(t, p, u, id))
			}
			assert.Equal(t, tc.want, strings.Join(got, " "))
			assert.Equal(t, tc.connections, u.accepted.Load())
			assert.Equal(t, tc.skipped, p.Skipped())
			assert.Equal(t, tc.passedOver, p.PassedOver())
		})
	}
}

// A connection that the request has travelled over doesn't count as idle for it.
func TestHasIdle(t *testing.T) {
	u := newCopyingUpstream(t)
	p := &forwarder.Pool{Network: networker.System{}}
	defer p.Close()
	assert.False(t, p.HasIdle(u.address, "a", time.Now()))
	sendID(t, p, u, "a")
	assert.False(t, p.HasIdle(u.address, "a", time.Now()))
	assert.True(t, p.HasIdle(u.address, "b", time.Now()))
	assert.False(t, p.HasIdle(u.address, "b", time.Now().Add(time.Minute)))
}

// A connection is closed before it forgets an id.
func TestConnectionIsClosedAfterManyRequests(t *testing.T) {
	u := newCopyingUpstream(t)
	p := &forwarder.Pool{Network: networker.System{}}
	defer p.Close()
	for n := range 512 {
		sendID(t, p, u, fmt.Sprint(n))
	}
	assert.Equal(t, int32(1), u.accepted.Load())
	sendID(t, p, u, "0")
	assert.Equal(t, int32(2), u.accepted.Load())
}

// A copy of a refusal that breaks off at any byte, and is followed by a response, does not
// lend its status or its fields to that response.
func TestTornCopyOfRefusalIsNoPartOfTheResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nDate: x\r\nId: 0\r\nContent-Length: 7\r\n\r\nrefused"
	for cut := range len(refusal) {
		u := newUpstream(t, refusal[:cut]+_completeResponse+"!")
		p := &forwarder.Pool{Network: networker.System{}}
		x, err := send(t, p, u)
		if err != nil {
			var f *forwarder.ExchangeError
			require.ErrorAs(t, err, &f)
			assert.True(t, f.Sent)
			continue
		}
		assert.Equal(t, http.StatusOK, x.Response.StatusCode, "%q", refusal[:cut])
		assert.Empty(t, x.Response.Header.Get("Not-Run"), "%q", refusal[:cut])
		require.NoError(t, x.Close())
		require.NoError(t, p.Close())
	}
}

// A stale response that ends with its connection fails the send at once, since no other
// response can follow it.
func TestStaleResponseWithoutLengthFailsAtOnce(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nId: 0\r\n\r\nopen end", "HTTP/1.1 200 OK\r\nId: 0\r\nConnection: close\r\nContent-Length: 9\r\n\r\nhalf"} {
		u := newUpstream(t, head)
		p := &forwarder.Pool{Network: networker.System{}}
		defer p.Close()
		_, err := send(t, p, u)
		var f *forwarder.ExchangeError
		require.ErrorAs(t, err, &f)
		assert.True(t, f.Sent)
	}
}

// A body that breaks off before its length is not complete because a copy of a response
// follows it, wherever it breaks off. A body that has a status line in its text is complete.
func TestTruncatedBodyIsNotFilledByCopy(t *testing.T) {
	response := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	small, large := response("0123456789"), response(strings.Repeat("x", 20_000))
	testCases := []struct {
		name, first, copied string
		// cuts are the largest number of missing bytes, and the step between two of them.
		missing, step int
	}{
		{name: "small", first: small, copied: small, missing: 10, step: 1},
		{name: "large", first: large, copied: large, missing: 20_000, step: 997},
		{name: "large, small copy", first: large, copied: small, missing: len(small) - 1, step: 1},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			for missing := 1; missing <= tc.missing; missing += tc.step {
				u := newUpstream(t, tc.first[:len(tc.first)-missing]+tc.copied)
				p := &forwarder.Pool{Network: networker.System{}}
				x, err := send(t, p, u)
				require.NoError(t, err)
				_, err = io.ReadAll(x)
				assert.Error(t, err, "%d bytes are missing", missing)
				require.NoError(t, x.Close())
				require.NoError(t, p.Close())
			}
		})
	}
	for _, text := range []string{response("see HTTP/1.1 200 OK"), response("0123456789") + response("0123456789"), response("HTTP/1.1 200")} {
		u := newUpstream(t, text)
		p := &forwarder.Pool{Network: networker.System{}}
		x, err := send(t, p, u)
		require.NoError(t, err)
		_, err = io.ReadAll(x)
		assert.NoError(t, err, text)
		require.NoError(t, x.Close())
		require.NoError(t, p.Close())
	}
}
