package serviceclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/serviceclient"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	_ran     = wire.Outcome_OUTCOME_RAN
	_notRun  = wire.Outcome_OUTCOME_NOT_RUN
	_unknown = wire.Outcome_OUTCOME_UNKNOWN
)

// fakeUpstream is an upstream that sends a test's own bytes, and counts connections
// and requests.
type fakeUpstream struct {
	address     string
	connections atomic.Int32
	requests    atomic.Int32
}

// reset closes a connection such that the peer sees a TCP reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// startUpstream starts an upstream that calls reply for each connection. In reply,
// read reads a whole request from the connection and reports whether one arrived.
func startUpstream(t *testing.T, reply func(c net.Conn, read func() bool)) *fakeUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &fakeUpstream{address: l.Addr().String()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			in := bufio.NewReader(c)
			reply(c, func() bool {
				r, err := http.ReadRequest(in)
				if err != nil {
					return false
				}
				u.requests.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				return true
			})
			c.Close()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return u
}

func write(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }

func TestSendOnce(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	testCases := []struct {
		name     string
		reply    func(c net.Conn, read func() bool)
		want     wire.Outcome
		requests int32
	}{
		{name: "complete response", want: _ran, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, response)
		}},
		{name: "closed before the request is read", want: _unknown, reply: func(c net.Conn, _ func() bool) { c.Close() }},
		{name: "reset before the request is read", want: _unknown, reply: func(c net.Conn, _ func() bool) {
			_, _ = c.Read(make([]byte, 1))
			reset(c)
		}},
		{name: "closed after the request is read", want: _unknown, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			c.Close()
		}},
		{name: "reset after the request is read", want: _unknown, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			reset(c)
		}},
		{name: "closed amid the headers", want: _unknown, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, "HTTP/1.1 200 OK\r\nContent-Le")
		}},
		{name: "closed amid the body", want: _unknown, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok")
		}},
		{name: "closed amid the chunks", want: _unknown, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		}},
		{name: "a second response follows", want: _ran, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, response+response)
		}},
		{name: "server error", want: _ran, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "refused before running", want: _notRun, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, "HTTP/1.1 503 Busy\r\nLb-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "success that claims not to have run", want: _ran, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, "HTTP/1.1 200 OK\r\nLb-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "redirect", want: _ran, requests: 1, reply: func(c net.Conn, read func() bool) {
			read()
			write(c, "HTTP/1.1 307 Moved\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")
		}},
	}
	// Requests with and without a body take different code paths in net/http.
	for _, body := range []string{"", "fee=1"} {
		for _, tc := range testCases {
			t.Run(tc.name+" "+body, func(t *testing.T) {
				u := startUpstream(t, tc.reply)
				c := serviceclient.New(networker.System{})
				// The second call must not reuse the connection of the first.
				for i := range 2 {
					r, err := c.Send(t.Context(), serviceclient.Call{
						Method: http.MethodPost, Path: "/lodge", Address: u.address, Body: []byte(body),
						Header: http.Header{"Idempotency-Key": {"k"}},
					})
					assert.Equal(t, tc.want, r.Outcome, "error %v", err)
					assert.Equal(t, r.Status == 0, err != nil)
					assert.Equal(t, int32(i+1), u.connections.Load())
				}
				assert.Equal(t, 2*tc.requests, u.requests.Load())
			})
		}
	}
}

func TestSendRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	r, err := serviceclient.New(networker.System{}).Send(t.Context(), serviceclient.Call{Method: http.MethodPost, Path: "/", Address: l.Addr().String()})
	assert.ErrorIs(t, err, serviceclient.ErrNotSent)
	assert.Equal(t, _notRun, r.Outcome)
}

// silentNetwork is a network on which connecting either never completes or yields
// a pipe that nobody reads.
type silentNetwork struct {
	networker.System
	connects bool
}

func (s silentNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	if !s.connects {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, _ := net.Pipe()
	return near, nil
}

func TestSendTimeout(t *testing.T) {
	testCases := []struct {
		name     string
		connects bool
		want     wire.Outcome
		duration time.Duration
	}{
		{name: "no connection", want: _notRun, duration: 2 * time.Second},
		{name: "no response", connects: true, want: _unknown, duration: 30 * time.Second},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				start := time.Now()
				r, err := serviceclient.New(silentNetwork{connects: tc.connects}).Send(ctx, serviceclient.Call{Method: http.MethodPost, Path: "/", Address: "10.0.0.1:80", Body: []byte("x")})
				assert.ErrorIs(t, err, context.DeadlineExceeded)
				assert.Equal(t, tc.want, r.Outcome)
				assert.Equal(t, tc.duration, time.Since(start))
			})
		})
	}
}

func TestEndToEnd(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Hop", "x-other"}, "X-Hop": {"1"}, "X-Other": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Proxy-Authorization": {"secret"}, "Idempotency-Key": {"k"}, "Content-Type": {"text/plain"},
	}
	assert.Equal(t, http.Header{"Idempotency-Key": {"k"}, "Content-Type": {"text/plain"}}, serviceclient.EndToEnd(h))
	assert.Len(t, h, 8, "the original must not change")
	assert.NotNil(t, serviceclient.EndToEnd(nil))
}

// When a reused connection breaks, net/http sends a request that has an
// Idempotency-Key and no body again; hence the client must not reuse connections.
func TestSendReusesNoConnection(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, read func() bool) {
		if read() {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			read()
		}
	})
	c := serviceclient.New(networker.System{})
	for range 2 {
		_, err := c.Send(t.Context(), serviceclient.Call{
			Method: http.MethodPost, Path: "/", Address: u.address, Header: http.Header{"Idempotency-Key": {"k"}},
		})
		require.NoError(t, err)
	}
	assert.Equal(t, int32(2), u.requests.Load())
}

// Guards against a status that is none: the call may have run, and its caller gets no response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		u := startUpstream(t, func(c net.Conn, read func() bool) {
			if read() {
				write(c, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\nno")
			}
		})
		result, err := serviceclient.New(networker.System{}).Send(t.Context(), serviceclient.Call{Method: http.MethodGet, Address: u.address, Path: "/"})
		require.Error(t, err, status)
		assert.Equal(t, _unknown, result.Outcome, status)
	}
}
