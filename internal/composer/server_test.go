package composer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/memorynet"
)

// startServer starts a server in a bubble of virtual time, and returns a connection to
// it.
func startServer(t *testing.T) net.Conn {
	t.Helper()
	var network memorynet.Network
	l, err := network.Host("10.0.0.1", time.Millisecond).Listen("tcp", "10.0.0.1:80")
	require.NoError(t, err)
	s := composer.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		assert.Fail(t, "a request without an end to its headers was served")
	}))
	go func() { assert.ErrorIs(t, s.Serve(l), http.ErrServerClosed) }()
	t.Cleanup(func() {
		assert.NoError(t, s.Close())
		// The server takes half a second to close a refused connection.
		time.Sleep(time.Second)
	})
	c, err := network.Host("10.0.0.2", time.Millisecond).DialContext(t.Context(), "tcp", "10.0.0.1:80")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, c.Close()) })
	return c
}

// A caller whose headers never end is refused and disconnected.
func TestEndlessHeaders(t *testing.T) {
	const line = "GET / HTTP/1.1\r\nHost: a\r\n"
	testCases := []struct {
		name, start, more string
	}{
		{name: "request line", start: "GET /", more: "x"},
		{name: "headers", start: line, more: "A: b\r\n"},
		{name: "header line", start: line + "A: ", more: "x"},
		{name: "folded line", start: line + "A: x", more: "\r\n x"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startServer(t)
				go sendEndless(c, tc.start, strings.Repeat(tc.more, 1000))
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				defer res.Body.Close()
				assert.Contains(t, []int{http.StatusBadRequest, http.StatusRequestHeaderFieldsTooLarge}, res.StatusCode)
				assert.True(t, res.Close)
			})
		})
	}
}

// A caller that sends a byte of its headers each second is disconnected in time.
func TestSlowHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startServer(t)
		begin := time.Now()
		go func() {
			for _, b := range []byte("GET / HTTP/1.1\r\nHost: " + strings.Repeat("a", 100)) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		_, err := io.Copy(io.Discard, c)
		assert.NoError(t, err)
		assert.Less(t, time.Since(begin), 11*time.Second)
	})
}

// sendEndless sends start, and then more until the other side closes.
func sendEndless(c net.Conn, start, more string) {
	_, err := io.WriteString(c, start)
	for err == nil {
		_, err = io.WriteString(c, more)
	}
}
