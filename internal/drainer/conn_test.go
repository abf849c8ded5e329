package drainer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
)

// _serveTime is how long a slow request is served: longer than a connection is quiet before
// it is closed.
const _serveTime = 1500 * time.Millisecond

// A request that was read together with the one before it is not cut off by a shutdown.
func TestRequestReadAheadIsNotCutOff(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			select {
			case <-r.Context().Done():
				t.Error("the request was cancelled:", r.Context().Err())
				return
			case <-time.After(_serveTime):
			}
		}
		echo(w, r)
	}))
	c := s.dial(t)
	_, err := fmt.Fprint(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	receiveFrom(t, reader, "/first")
	drained := s.startDrain()
	receiveFrom(t, reader, "/slow")
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.NoError(t, <-drained)
}

// wokenListener is a listener whose connections are wokenConns.
type wokenListener struct{ net.Listener }

func (l wokenListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &wokenConn{TCPConn: c.(*net.TCPConn), woken: make(chan struct{})}, nil
}

// wokenConn is a connection whose first read returns what has arrived only once a read
// deadline in the past was set: its reader got no processor time in between.
type wokenConn struct {
	*net.TCPConn
	firstRead, wake sync.Once
	woken           chan struct{}
}

func (c *wokenConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.firstRead.Do(func() { <-c.woken })
	return n, err
}

func (c *wokenConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if !t.IsZero() && !t.After(time.Now()) {
		c.wake.Do(func() { close(c.woken) })
	}
	return err
}

// serveWoken starts to drain a server whose only connection is woken during its first read,
// which returns the beginning of text.
func serveWoken(t *testing.T, headTimeout time.Duration, text string) (c net.Conn, drained chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var d drainer.Drainer
	s := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: headTimeout}
	attached := d.Attach(s, wokenListener{l})
	go func() { _ = s.Serve(attached) }()
	t.Cleanup(func() { s.Close() })
	c, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.Open() == 1 }, 5*time.Second, time.Millisecond)
	drained = make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	go func() { drained <- d.Drain(ctx) }()
	return c, drained
}

// _longHead is the beginning of a head that takes several reads.
var _longHead = "GET /large HTTP/1.1\r\nHost: a\r\nPrompt: " + strings.Repeat("x", 8000)

// A request whose head takes several reads is answered although its connection was about to
// be closed during the first one.
func TestRequestReadWhileWokenIsAnswered(t *testing.T) {
	c, drained := serveWoken(t, 20*time.Second, _longHead+"\r\n\r\n")
	receive(t, c, "/large")
	assert.NoError(t, <-drained)
}

// Waking a connection does not lift the limit of the time in which a head must arrive.
func TestHeadTimeoutHoldsAfterWaking(t *testing.T) {
	_, drained := serveWoken(t, 2*time.Second, _longHead)
	assert.NoError(t, <-drained)
}
