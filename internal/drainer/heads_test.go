package drainer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
)

// Guards against heads of requests that do not end, or are large and are being served, taking the
// memory of the process: their sum is bounded, and ordinary requests are answered beside them.
func TestMemoryOfHeadsIsBounded(t *testing.T) {
	const (
		limit     = 1 << 20
		attackers = 60
	)
	var shortFields strings.Builder
	for n := 0; shortFields.Len() < 16_000; n++ {
		fmt.Fprintf(&shortFields, "%x:\r\n", n)
	}
	testCases := []struct{ name, head string }{
		{name: "heads without end", head: "GET /hold HTTP/1.1\r\nHost: a\r\n" + shortFields.String()},
		{name: "heads that are served", head: "GET /hold HTTP/1.1\r\nHost: a\r\n" + shortFields.String() + "\r\n"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			d := &drainer.Drainer{HeadMemoryLimit: limit}
			release := make(chan struct{})
			s := &http.Server{ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/hold" {
					select {
					case <-release:
					case <-r.Context().Done():
					}
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			address := l.Addr().String()
			attached := d.Attach(s, l)
			go func() { _ = s.Serve(attached) }()
			var conns []net.Conn
			for range attackers {
				c, err := net.Dial("tcp", address)
				require.NoError(t, err)
				conns = append(conns, c)
				_, _ = io.WriteString(c, tc.head) // fails where the connection is closed
				assert.LessOrEqual(t, d.HeadMemory(), int64(limit))
			}
			// Each head takes over 250 kB.
			assert.Eventually(t, func() bool { return d.Open() <= 4 }, 10*time.Second, 10*time.Millisecond)
			res, err := http.Get("http://" + address + "/ordinary")
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())
			assert.Equal(t, http.StatusOK, res.StatusCode)
			close(release)
			for _, c := range conns {
				_ = c.Close()
			}
			http.DefaultClient.CloseIdleConnections()
			require.NoError(t, s.Close())
			assert.Eventually(t, func() bool { return d.HeadMemory() == 0 }, 10*time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against an account that grows with each request of a connection, until sound requests
// are closed.
func TestMemoryOfHeadsIsReleased(t *testing.T) {
	d := &drainer.Drainer{HeadMemoryLimit: 64 << 10}
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(echo)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	attached := d.Attach(s, l)
	go func() { _ = s.Serve(attached) }()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	for n := range 200 {
		path := fmt.Sprintf("/%d", n)
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nX: %s\r\nContent-Length: 30000\r\n\r\n%s", path, strings.Repeat("y", 8<<10), strings.Repeat("\n", 30000))
		require.NoError(t, err)
		receiveFrom(t, reader, path)
	}
	require.NoError(t, c.Close())
	require.NoError(t, s.Close())
}
