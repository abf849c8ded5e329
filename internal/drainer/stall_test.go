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

// unread is a server in virtual time whose responses are many small writes.
type unread struct {
	network memorynet.Network
	drainer drainer.Drainer
	server  *http.Server
	serving atomic.Int32
}

func startUnread(t *testing.T, limit int) *unread {
	u := &unread{drainer: drainer.Drainer{Limit: limit}}
	u.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		u.serving.Add(1)
		defer u.serving.Add(-1)
		for range 64 {
			if _, err := io.WriteString(w, strings.Repeat("x", 8<<10)); err != nil {
				return
			}
		}
	})}
	l, err := u.network.Host("10.0.0.1", time.Millisecond).Listen("tcp", "10.0.0.1:80")
	require.NoError(t, err)
	l = u.drainer.Attach(u.server, l)
	go func() { _ = u.server.Serve(l) }()
	return u
}

// ask opens a connection and sends a request on it.
func (u *unread) ask(t *testing.T) net.Conn {
	c, err := u.network.Host("10.0.0.2", time.Millisecond).DialContext(context.Background(), "tcp", "10.0.0.1:80")
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	return c
}

// Guards against a caller that does not read its response and so holds its request for good. One
// that reads slowly keeps it.
func TestStalledCallerIsCutOff(t *testing.T) {
	testCases := []struct {
		name      string
		pause     time.Duration // between two reads of the caller; 0 means that it reads nothing
		wantWhole bool
	}{
		{name: "reads nothing"},
		{name: "reads slowly", pause: 5 * time.Second, wantWhole: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := startUnread(t, 0)
				c := u.ask(t)
				time.Sleep(20 * time.Second)
				if tc.pause == 0 {
					assert.Zero(t, u.serving.Load())
					assert.Zero(t, u.drainer.Open())
				}
				_ = c.Close()
				if tc.wantWhole {
					c = u.ask(t)
					assert.Greater(t, readSlowly(c, tc.pause), 64*8<<10)
					_ = c.Close()
				}
				require.NoError(t, u.server.Close())
				time.Sleep(time.Second)
			})
		})
	}
}

// readSlowly reads to the end with pauses, and returns the number of bytes.
func readSlowly(c net.Conn, pause time.Duration) int {
	total, b := 0, make([]byte, 4<<10)
	for {
		n, err := c.Read(b)
		total += n
		if err != nil {
			return total
		}
		time.Sleep(pause)
	}
}

// Guards against connections whose responses are not read taking the places of all others.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	const limit = 8
	synctest.Test(t, func(t *testing.T) {
		u := startUnread(t, limit)
		var stalled []net.Conn
		for range limit {
			stalled = append(stalled, u.ask(t))
		}
		for range 3 * limit {
			time.Sleep(1500 * time.Millisecond)
			c := u.ask(t)
			assert.Greater(t, readSlowly(c, 0), 64*8<<10, "an ordinary caller gets its response")
			_ = c.Close()
			stalled = append(stalled, u.ask(t)) // takes the place again
		}
		assert.LessOrEqual(t, u.drainer.Open(), limit)
		for _, c := range stalled {
			_ = c.Close()
		}
		require.NoError(t, u.server.Close())
		time.Sleep(20 * time.Second)
	})
}
