package engineclient_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// serveWithCopies answers status calls and refuses orders as fenced. It precedes each
// response with a copy of the one before.
func serveWithCopies(c net.Conn) {
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
			const body = `{"instance":"i","state":"free"}`
			response = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		_, _ = io.WriteString(c, before+response) // the client may have closed the connection
		before = response
	}
}

// A late copy of a status on a kept connection does not pass for the outcome of an order.
func TestStaleStatusIsNoOrderOutcome(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serveWithCopies(c)
		}
	}()
	c := engineclient.New(networker.System{})
	defer c.Close()
	for range 3 {
		_, err := c.Status(t.Context(), l.Addr().String())
		require.NoError(t, err)
		_, err = c.Order(t.Context(), l.Addr().String(), engineclient.Order{Generation: 5})
		assert.ErrorIs(t, err, engineclient.ErrFenced)
	}
}
