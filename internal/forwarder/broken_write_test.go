package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

var errBroken = errors.New("connection broken by the test")

// breakingNetwork opens connections that break once they have passed on a number of bytes.
type breakingNetwork struct {
	networker.System
	passed int
	// dialDelay is the time that a dial takes; the end of its context does not stop it.
	dialDelay time.Duration
}

func (n *breakingNetwork) DialContext(_ context.Context, network, address string) (net.Conn, error) {
	time.Sleep(n.dialDelay)
	c, err := n.System.DialContext(context.Background(), network, address)
	return &breakingConn{Conn: c, left: n.passed}, err
}

type breakingConn struct {
	net.Conn
	left int
}

func (c *breakingConn) Write(b []byte) (int, error) {
	k := min(len(b), c.left)
	c.left -= k
	if k == 0 {
		return 0, errBroken
	}
	n, err := c.Conn.Write(b[:k])
	if err == nil && n < len(b) {
		err = errBroken
	}
	return n, err
}

// newByteCounter returns the address of an upstream that never responds, and a channel
// with the number of bytes that each connection brought.
func newByteCounter(t *testing.T) (string, <-chan int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	counts := make(chan int64, 1)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			n, _ := io.Copy(io.Discard, c)
			counts <- n
		}
	}()
	return l.Addr().String(), counts
}

// A failed send says that nothing was sent only if no byte has reached the upstream.
func TestSentIsTrueOnceAByteHasLeft(t *testing.T) {
	const joined, separate = 100, 64 << 10 // sizes of bodies that are written with the head and after it
	for body, breaks := range map[int][]int{joined: {0, 1, 20, 120}, separate: {0, 1, 20, 50, 60, separate / 2}} {
		for _, passed := range breaks {
			t.Run(fmt.Sprintf("%d of a body of %d", passed, body), func(t *testing.T) {
				address, counts := newByteCounter(t)
				p := &forwarder.Pool{Network: &breakingNetwork{passed: passed}}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := p.Send(ctx, address, &forwarder.Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1", Body: make([]byte, body)})
				var f *forwarder.ExchangeError
				require.ErrorAs(t, err, &f)
				assert.Equal(t, <-counts > 0, f.Sent)
				assert.Equal(t, passed > 0, f.Sent)
			})
		}
	}
}

// A connection that opens after the end of the context is not taken for one on which
// nothing was sent, if something was.
func TestSentAfterLateDial(t *testing.T) {
	for range 20 {
		address, counts := newByteCounter(t)
		p := &forwarder.Pool{Network: &breakingNetwork{passed: 1 << 20, dialDelay: 5 * time.Millisecond}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		_, err := p.Send(ctx, address, &forwarder.Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1", Body: make([]byte, 100)})
		cancel()
		var f *forwarder.ExchangeError
		require.ErrorAs(t, err, &f)
		if n := <-counts; !f.Sent {
			assert.Zero(t, n)
		}
	}
}
