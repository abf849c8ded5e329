package drainer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
	"github.com/lycheebarrow/lycheebarrow/internal/memorynet"
)

// again is a server in virtual time whose requests have bodies.
type again struct {
	network memorynet.Network
	drainer drainer.Drainer
	server  *http.Server
	running sync.WaitGroup
}

func startAgain(t *testing.T, limit int, serve http.HandlerFunc) *again {
	a := &again{drainer: drainer.Drainer{Limit: limit}}
	a.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: serve}
	l, err := a.network.Host("10.0.0.1", time.Millisecond).Listen("tcp", "10.0.0.1:80")
	require.NoError(t, err)
	l = a.drainer.Attach(a.server, l)
	a.running.Go(func() { _ = a.server.Serve(l) })
	return a
}

// dial opens a connection.
func (a *again) dial(host string) (net.Conn, error) {
	return a.network.Host(host, time.Millisecond).DialContext(context.Background(), "tcp", "10.0.0.1:80")
}

// sendShort sends a request whose body ends a byte short, on a connection after the other until
// stop is closed.
func (a *again) sendShort(host string, stop <-chan struct{}) {
	for {
		c, err := a.dial(host)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nbody") // the read below fails too
		ended := make(chan struct{})
		go func() {
			_, _ = io.Copy(io.Discard, c) // it ends when the server closes the connection
			close(ended)
		}()
		select {
		case <-ended:
			_ = c.Close()
		case <-stop:
			_ = c.Close()
			<-ended
			return
		}
	}
}

// ask sends a whole request on a connection of its own, and returns whether it is answered.
func (a *again) ask() bool {
	c, err := a.dial("10.0.0.3")
	if err != nil {
		return false
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole") // the read below fails too
	text, err := io.ReadAll(c)
	return err == nil && strings.Contains(string(text), "200 OK")
}

func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	drainer.BodyOf(r.Context()).Complete()
	w.WriteHeader(http.StatusOK)
}

// Guards against ordinary callers that are refused again and again while clients whose
// connections were closed come again at once and take each place that becomes free.
func TestCallersAreServedBesideClientsThatComeAgain(t *testing.T) {
	const limit, clients, requests = 8, 24, 20
	synctest.Test(t, func(t *testing.T) {
		a := startAgain(t, limit, readBody)
		stop := make(chan struct{})
		for range clients {
			a.running.Go(func() { a.sendShort("10.0.0.2", stop) })
		}
		time.Sleep(2 * time.Second)
		for range requests {
			begin := time.Now()
			assert.True(t, a.ask())
			assert.Less(t, time.Since(begin), 8*time.Second, "within the time of a request")
			time.Sleep(100 * time.Millisecond)
		}
		assert.LessOrEqual(t, a.drainer.Open(), limit)
		close(stop)
		time.Sleep(time.Second)
		require.NoError(t, a.server.Close())
		a.running.Wait()
	})
}

// Where all connections are needed for longer, others are not kept waiting.
func TestConnectionsAreRefusedWhereNoRoomComes(t *testing.T) {
	const limit, busy = 4, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		a := startAgain(t, limit, func(w http.ResponseWriter, r *http.Request) {
			readBody(w, r)
			time.Sleep(busy)
		})
		for range limit {
			a.running.Go(func() { a.ask() })
		}
		time.Sleep(3 * time.Second)
		for i := range 3 {
			begin := time.Now()
			assert.False(t, a.ask())
			if i > 0 {
				assert.Less(t, time.Since(begin), 100*time.Millisecond)
			}
			assert.Less(t, time.Since(begin), 2*time.Second)
		}
		time.Sleep(busy)
		assert.True(t, a.ask())
		require.NoError(t, a.server.Close())
		a.running.Wait()
	})
}
