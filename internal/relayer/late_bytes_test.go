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
// calls respond for the next one, with its id. It returns its address.
func startLateUpstream(t *testing.T, respond func(w io.Writer, id string)) string {
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
			if id := req.Header.Get("Id"); n == 0 {
				_, _ = io.WriteString(c, doneResponse(id))
			} else {
				respond(c, id)
			}
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// doneResponse returns the whole response to a request.
func doneResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone", id)
}

// respondEndless sends bytes that are no response, without end.
func respondEndless(w io.Writer, _ string) {
	for block, err := strings.Repeat("x", 4096), error(nil); err == nil; {
		_, err = io.WriteString(w, block)
	}
}

// respondTruncated breaks the response off in its body, and sends a copy of the response to
// the first request.
func respondTruncated(w io.Writer, id string) {
	whole := doneResponse(id)
	_, _ = io.WriteString(w, whole[:len(whole)-2]+doneResponse("1"))
}

// Bytes that are no response, or that complete a truncated one, on a kept connection, don't reach the caller: a repeatable
// request is answered by another upstream, and one that may run only once is not sent again.
func TestWrongBytesOnKeptConnection(t *testing.T) {
	testCases := []struct {
		name string
		kind cataloguer.Kind
		// respond sends the bytes.
		respond func(w io.Writer, id string)
		want    string
		runs    int32
	}{
		{name: "endless, safe", kind: cataloguer.KindSafe, respond: respondEndless, want: "200 done", runs: 1},
		{name: "endless, unsafe", kind: cataloguer.KindUnsafe, respond: respondEndless, want: "502"},
		{name: "truncated, safe", kind: cataloguer.KindSafe, respond: respondTruncated, want: "200 done", runs: 1},
		{name: "truncated, unsafe", kind: cataloguer.KindUnsafe, respond: respondTruncated, want: "502"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var runs atomic.Int32
			other := httptest.NewServer(upstreamHandler("ok", &runs))
			defer other.Close()
			s := startRelayerOf(t, tc.kind, false, startLateUpstream(t, tc.respond), other.Listener.Addr().String())
			assert.Equal(t, "200 done", sendRequestWith(t, s, "/x", http.Header{"Id": {"1"}}))
			require.Zero(t, runs.Load())
			// The connection counts as quiet then.
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, tc.want, sendRequestWith(t, s, "/x", http.Header{"Id": {"2"}}))
			assert.Equal(t, tc.runs, runs.Load())
		})
	}
}
