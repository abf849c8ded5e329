package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// _maxAllocated is the memory that an upstream's bytes without end may cost, in bytes.
const _maxAllocated = 512 << 10

// newEndlessUpstream returns an upstream that responds to a request with start, pauses,
// and then sends more without end until the connection is closed.
func newEndlessUpstream(t *testing.T, start, more string, pause time.Duration) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	u := &scriptedUpstream{address: l.Addr().String()}
	block := []byte(strings.Repeat(more, 1+4096/max(len(more), 1)))
	serve := func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, start)
		time.Sleep(pause)
		for err == nil {
			_, err = c.Write(block)
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

// A response whose head, chunks or trailer never end fails at once, and costs little
// memory.
func TestEndlessResponseFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	testCases := []struct{ name, start, more string }{
		{name: "no protocol", more: "\x00\xff"},
		{name: "empty lines", more: "\r\n"},
		{name: "status line", start: "HTTP/1.1 200 ", more: "x"},
		{name: "headers", start: head, more: "A: b\r\n"},
		{name: "header line", start: head + "A: ", more: "b"},
		{name: "interim responses", more: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "stale response", start: strings.Replace(head, "1\r", "2\r", 1) + "\r\n", more: "x"},
		{name: "chunk size", start: head + "Transfer-Encoding: chunked\r\n\r\n", more: "0"},
		{name: "chunk extension", start: head + "Transfer-Encoding: chunked\r\n\r\n1;", more: "x"},
		{name: "chunk extensions", start: head + "Transfer-Encoding: chunked\r\n\r\n", more: "1;" + strings.Repeat("x", 2000) + "\r\ny\r\n"},
		{name: "trailer", start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", more: "A: b\r\n"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			u := newEndlessUpstream(t, tc.start, tc.more, 0)
			p := &forwarder.Pool{Network: networker.System{}}
			defer p.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			x, err := send(t, p, u)
			if err == nil {
				_, err = io.Copy(io.Discard, x)
				assert.NoError(t, x.Close())
			}
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(_maxAllocated))
			// The connection is not used again.
			_, _ = send(t, p, u)
			assert.Equal(t, int32(2), u.accepted.Load())
		})
	}
}

// Bytes without end after a complete response, at once or on an idle connection, leave
// the response as it is and the connection unused.
func TestEndlessBytesAfterResponse(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		u := newEndlessUpstream(t, _completeResponse, "x", pause)
		p := &forwarder.Pool{Network: networker.System{}}
		for n := int32(1); n <= 2; n++ {
			x, err := send(t, p, u)
			require.NoError(t, err)
			body, err := io.ReadAll(x)
			require.NoError(t, err)
			assert.Equal(t, "ok", string(body))
			assert.NoError(t, x.Close())
			assert.Equal(t, n, u.accepted.Load())
			time.Sleep(2 * pause)
		}
		require.NoError(t, p.Close())
	}
}
