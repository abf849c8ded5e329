package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/memorynet"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// _maxAllocated is the memory that an upstream's bytes without end may cost, in bytes.
const _maxAllocated = 512 << 10

// newEndlessUpstream returns an upstream that responds to a request with start, and then
// sends more without end until the connection is closed.
func newEndlessUpstream(t *testing.T, start, more string) *scriptedUpstream {
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
			u := newEndlessUpstream(t, tc.start, tc.more)
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

// A head of many short lines costs little memory, although all of it is below the limit of its
// size: many requests may wait for such heads at once.
func TestHeadOfManyLinesCostsLittle(t *testing.T) {
	const most = 128 << 10 // bytes, eight times the limit of a head
	var lines strings.Builder
	for n := range 3500 {
		lines.WriteByte("abcdefghijklmnopqrstuvwxyz0123456789"[n/36%36])
		lines.WriteByte("abcdefghijklmnopqrstuvwxyz0123456789"[n%36])
		lines.WriteString(":\n")
	}
	for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
		u := newUpstream(t, before+"HTTP/1.1 200 OK\r\nId: 1\r\n"+lines.String()+"!")
		p := &forwarder.Pool{Network: networker.System{}}
		var start, end runtime.MemStats
		runtime.ReadMemStats(&start)
		_, err := send(t, p, u)
		runtime.ReadMemStats(&end)
		require.Error(t, err)
		assert.Less(t, end.TotalAlloc-start.TotalAlloc, uint64(most))
		require.NoError(t, p.Close())
	}
}

// newLateUpstream returns an upstream that answers a request on each connection, receives
// from proceed, and then sends bytes without end. If asked is true, it reads another request
// before them.
func newLateUpstream(t *testing.T, n networker.Network, address string, asked bool, proceed <-chan bool) *scriptedUpstream {
	l, err := n.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	u := &scriptedUpstream{address: l.Addr().String()}
	block := []byte(strings.Repeat("x", 4096))
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, _completeResponse)
		if asked {
			_, err = http.ReadRequest(r)
		}
		if err != nil || !<-proceed {
			return
		}
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

// lastConnNetwork remembers the connection that it opened last.
type lastConnNetwork struct {
	networker.System
	last net.Conn
}

func (n *lastConnNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.System.DialContext(ctx, network, address)
	n.last = c
	return c, err
}

// awaitBytes waits until bytes have arrived on the last connection, and leaves them there.
func (n *lastConnNetwork) awaitBytes(t *testing.T) {
	raw, err := n.last.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	}))
}

// requireComplete sends a request and requires the complete response.
func requireComplete(t *testing.T, p *forwarder.Pool, u *scriptedUpstream, once bool) {
	x, err := sendOnce(t, p, u, once)
	require.NoError(t, err)
	body, err := io.ReadAll(x)
	require.NoError(t, err)
	assert.Equal(t, "ok", string(body))
	assert.NoError(t, x.Close())
}

// Bytes without end in the same write as a complete response leave the response as it is
// and the connection unused.
func TestEndlessBytesWithResponse(t *testing.T) {
	u := newEndlessUpstream(t, "", _completeResponse+strings.Repeat("x", 10))
	p := &forwarder.Pool{Network: networker.System{}}
	defer p.Close()
	for n := int32(1); n <= 4; n++ {
		requireComplete(t, p, u, n > 2)
		assert.Equal(t, n, u.accepted.Load())
	}
}

// Bytes without end that have arrived on an idle connection leave the response before them
// as it is and the connection unused.
func TestEndlessBytesOnIdleConnection(t *testing.T) {
	proceed := make(chan bool)
	n := &lastConnNetwork{}
	u := newLateUpstream(t, n, "127.0.0.1:0", false, proceed)
	p := &forwarder.Pool{Network: n}
	defer p.Close()
	for k := int32(1); k <= 4; k++ {
		requireComplete(t, p, u, k > 2)
		assert.Equal(t, k, u.accepted.Load())
		proceed <- true
		n.awaitBytes(t)
	}
}

// Bytes without end that arrive after the next request was sent make that request fail at
// once, with an unknown outcome, and leave the connection unused.
func TestEndlessBytesAfterNextRequest(t *testing.T) {
	proceed := make(chan bool, 1)
	u := newLateUpstream(t, networker.System{}, "127.0.0.1:0", true, proceed)
	p := &forwarder.Pool{Network: networker.System{}}
	defer p.Close()
	for k := int32(1); k <= 2; k++ {
		requireComplete(t, p, u, false)
		assert.Equal(t, k, u.accepted.Load())
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		proceed <- true
		_, err := send(t, p, u)
		runtime.ReadMemStats(&after)
		var f *forwarder.ExchangeError
		require.ErrorAs(t, err, &f)
		assert.True(t, f.Sent)
		assert.True(t, f.Reused)
		assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(_maxAllocated))
		assert.Equal(t, k, u.accepted.Load())
	}
}

// A request that may run only once is not sent on a connection whose last response has just
// ended, so that bytes that follow that response don't leave its outcome unknown.
func TestRequestThatMayRunOnceWaitsForNoBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memorynet.Network
		host := n.Host("10.0.0.1", 100*time.Microsecond)
		proceed := make(chan bool)
		defer close(proceed)
		u := newLateUpstream(t, n.Host("10.0.0.2", 110*time.Microsecond), "10.0.0.2:80", true, proceed)
		defer n.CloseHost("10.0.0.2")
		p := &forwarder.Pool{Network: host}
		defer p.Close()
		requireComplete(t, p, u, false)
		for k := int32(2); k <= 3; k++ {
			requireComplete(t, p, u, true)
			assert.Equal(t, k, u.accepted.Load())
		}
		// A connection that has been quiet for longer is used again.
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.Send(ctx, u.address, &forwarder.Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "once", Once: true})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, int32(3), u.accepted.Load())
	})
}
