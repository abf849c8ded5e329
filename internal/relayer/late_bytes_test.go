package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// startLateUpstream starts an upstream that answers the first request of a connection, and
// sends bytes that are no response, without end, once the next one has arrived. It returns
// its address.
func startLateUpstream(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for n := range 2 {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if n == 0 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone", req.Header.Get("Id"))
			}
		}
		for block, err := strings.Repeat("x", 4096), error(nil); err == nil; {
			_, err = io.WriteString(c, block)
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Bytes that are no response, on a kept connection, don't reach the caller: a repeatable
// request is answered by another upstream, and one that may run only once is not sent again.
func TestEndlessBytesOnKeptConnection(t *testing.T) {
	testCases := []struct {
		name string
		kind cataloguer.Kind
		want string
		runs int32
	}{
		{name: "safe", kind: cataloguer.KindSafe, want: "200 done", runs: 1},
		{name: "unsafe", kind: cataloguer.KindUnsafe, want: "502"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var runs atomic.Int32
			other := httptest.NewServer(upstreamHandler("ok", &runs))
			defer other.Close()
			s := startRelayerOf(t, tc.kind, false, startLateUpstream(t), other.Listener.Addr().String())
			assert.Equal(t, "200 done", sendRequestWith(t, s, "/x", http.Header{"Id": {"1"}}))
			require.Zero(t, runs.Load())
			// The connection counts as quiet then.
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, tc.want, sendRequestWith(t, s, "/x", http.Header{"Id": {"2"}}))
			assert.Equal(t, tc.runs, runs.Load())
		})
	}
}
