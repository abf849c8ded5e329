package networker_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// respond starts a server that answers each request with a text, and returns its address.
func respond(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, text) // the client may have closed the connection
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a status that is none, such as 000, being taken for that of a response.
func TestStatusTransport(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	testCases := []struct {
		response string
		want     int // 0 where there must be an error
	}{
		{response: "HTTP/1.1 200 OK\r\n" + body, want: 200},
		{response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + body, want: 200},
		{response: "HTTP/1.1 599 x\r\n" + body, want: 599},
		{response: "HTTP/1.1 000 x\r\n" + body},
		{response: "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n"},
		{response: "HTTP/1.1 000 x\r\n\r\n"},
		{response: "HTTP/1.1 099 x\r\n" + body},
		{response: "HTTP/1.1 +20 x\r\n" + body},
		{response: "HTTP/1.1 -20 x\r\n" + body},
		{response: "HTTP/1.1 101 x\r\n\r\n"},
		{response: "HTTP/1.1 600 x\r\n" + body},
		{response: "HTTP/1.1 999 x\r\n" + body},
	}
	for _, tc := range testCases {
		c := http.Client{Transport: networker.StatusTransport{Transport: &http.Transport{}}}
		res, err := c.Get("http://" + respond(t, tc.response))
		c.CloseIdleConnections()
		if tc.want == 0 {
			if err == nil {
				res.Body.Close()
			}
			assert.Error(t, err, "%q", tc.response)
			continue
		}
		if assert.NoError(t, err, "%q", tc.response) {
			assert.Equal(t, tc.want, res.StatusCode, "%q", tc.response)
			require.NoError(t, res.Body.Close())
		}
	}
}
