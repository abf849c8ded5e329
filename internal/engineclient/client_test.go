package engineclient_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// engine answers status calls and refuses orders as fenced.
type engine struct {
	copies    bool // precede each response with a copy of the one before
	repeatsID bool // repeat the id of a status call
	// states are those of the status calls in their order; the last one stays.
	states                   []engineclient.State
	connections, statusCalls atomic.Int32
}

// start serves connections until the test ends, and returns the engine's address.
func (e *engine) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			e.connections.Add(1)
			go e.serve(c)
		}
	}()
	return l.Addr().String()
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	before := ""
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		response := "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		if req.Method == http.MethodGet {
			response = e.status(req, int(e.statusCalls.Add(1)))
		}
		_, _ = io.WriteString(c, before+response) // the client may have closed the connection
		if e.copies {
			before = response
		}
	}
}

// status returns the response to the status call with a number, from 1.
func (e *engine) status(req *http.Request, number int) string {
	id := ""
	if e.repeatsID {
		id = "Lb-Attempt: " + req.Header.Get(engineclient.HeaderAttempt) + "\r\n"
	}
	body := fmt.Sprintf(`{"instance":"i","state":%q}`, e.states[min(number, len(e.states))-1])
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// A late copy of a status on a kept connection does not pass for the outcome of an order.
func TestStaleStatusIsNoOrderOutcome(t *testing.T) {
	for _, repeatsID := range []bool{true, false} {
		t.Run(fmt.Sprintf("repeatsID=%t", repeatsID), func(t *testing.T) {
			e := &engine{copies: true, repeatsID: repeatsID, states: []engineclient.State{engineclient.StateReady}}
			address := e.start(t)
			c := engineclient.New(networker.System{})
			defer c.Close()
			for range 3 {
				_, err := c.Status(t.Context(), address)
				require.NoError(t, err)
				_, err = c.Order(t.Context(), address, engineclient.Order{Generation: 5})
				assert.ErrorIs(t, err, engineclient.ErrFenced)
			}
		})
	}
}

// A late copy of an earlier status on a kept connection does not pass for the current one.
func TestStaleStatusIsReadAgain(t *testing.T) {
	testCases := []struct {
		name              string
		repeatsID, copies bool
		connections       int32
	}{
		{name: "no copies", repeatsID: true, connections: 1},
		{name: "copies", repeatsID: true, copies: true, connections: 3},
		{name: "no id", connections: 3},
		{name: "copies without id", copies: true, connections: 3},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			e := &engine{copies: tc.copies, repeatsID: tc.repeatsID, states: []engineclient.State{engineclient.StateReady, engineclient.StateFailed}}
			address := e.start(t)
			c := engineclient.New(networker.System{})
			defer c.Close()
			var got []string
			for range 3 {
				s, err := c.Status(t.Context(), address)
				require.NoError(t, err)
				got = append(got, string(s.State))
			}
			assert.Equal(t, "ready failed failed", strings.Join(got, " "))
			assert.Equal(t, tc.connections, e.connections.Load())
		})
	}
}
