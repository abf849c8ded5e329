package drainer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
	"github.com/lycheebarrow/lycheebarrow/internal/memorynet"
)

// readWhole is a handler that reads the body and works for a time.
func readWhole(work time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		drainer.BodyOf(r.Context()).Complete()
		if err == nil {
			time.Sleep(work)
			_, _ = io.WriteString(w, "done") // the caller may have left
		}
	}
}

// Guards against clients who send a byte now and then, of a head or a body, and take the places
// of all others. A request that has come whole keeps its connection, however long it is served.
func TestSlowRequestsMakeRoom(t *testing.T) {
	const limit = 8
	for _, begin := range []string{
		"POST / HTTP/1.1\r\nHost: a\r\nX: ",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			var network memorynet.Network
			d := drainer.Drainer{Limit: limit}
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: readWhole(4 * time.Second)}
			l, err := network.Host("10.0.0.1", time.Millisecond).Listen("tcp", "10.0.0.1:80")
			require.NoError(t, err)
			l = d.Attach(server, l)
			go func() { _ = server.Serve(l) }()
			dial := func(text string) net.Conn {
				c, err := network.Host("10.0.0.2", time.Millisecond).DialContext(context.Background(), "tcp", "10.0.0.1:80")
				require.NoError(t, err)
				_, _ = io.WriteString(c, text) // fails where the connection is closed at once
				return c
			}
			whole := dial("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			for range limit + 2 {
				c := dial(begin)
				defer c.Close()
				go func() {
					for {
						time.Sleep(100 * time.Millisecond)
						if _, err := io.WriteString(c, "x"); err != nil {
							return
						}
					}
				}()
			}
			time.Sleep(1500 * time.Millisecond)
			assert.LessOrEqual(t, d.Open(), limit)
			for range 2 {
				response, err := io.ReadAll(dial("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
				require.NoError(t, err)
				assert.Contains(t, string(response), "done", "an ordinary request")
			}
			response, err := io.ReadAll(whole)
			require.NoError(t, err)
			assert.Contains(t, string(response), "done", "a request that has come whole")
			assert.Positive(t, d.SlowCut())
			require.NoError(t, server.Close())
			time.Sleep(time.Minute)
		})
	}
}

// Guards against an account of receive buffers that drifts as connections come, carry large
// bodies and go.
func TestReceiveBuffersAreCounted(t *testing.T) {
	const small, large, clients = 8 << 10, 64 << 10, 5
	var total atomic.Int64
	d := drainer.Drainer{ReceiveBuffer: small, BodyBuffer: large, OnReceiveBuffer: func(difference int) { total.Add(int64(difference)) }}
	widened, goOn := make(chan int64, clients), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body := drainer.BodyOf(r.Context())
		body.Widen()
		body.Widen()
		widened <- body.WindowBytes()
		<-goOn
		body.Complete()
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l = d.Attach(server, l)
	go func() { _ = server.Serve(l) }()
	var connections []net.Conn
	for range clients {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde")
		require.NoError(t, err)
		connections = append(connections, c)
	}
	for range clients {
		assert.Equal(t, int64(2*(large-small)), <-widened)
	}
	assert.Equal(t, int64(clients*large), total.Load())
	close(goOn)
	for _, c := range connections {
		b := make([]byte, 12)
		_, err := io.ReadFull(c, b)
		require.NoError(t, err)
		assert.True(t, strings.HasPrefix(string(b), "HTTP/1.1 200"))
	}
	assert.Equal(t, int64(clients*small), total.Load())
	require.NoError(t, server.Close())
	for _, c := range connections {
		_, _ = io.Copy(io.Discard, c) // until the server has closed it
	}
	assert.Eventually(t, func() bool { return total.Load() == 0 }, time.Minute, time.Millisecond)
	drainer.RequestBody{}.Widen()
	drainer.RequestBody{}.Complete()
	assert.Zero(t, drainer.RequestBody{}.WindowBytes())
}
