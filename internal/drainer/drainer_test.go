package drainer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
)

// _resumeDelay is how long after the first deadline of a listener its accepts resume.
const _resumeDelay = 300 * time.Millisecond

// _blindDelay is how long an accept takes that ends without a look.
const _blindDelay = 50 * time.Millisecond

// starvation keeps a server's reads and accepts from what has arrived, as a processor that
// is busy with other processes does. It begins with start. Reads then end only by their
// deadline, and accepts resume some time after the listener has got a deadline, or was closed.
type starvation struct {
	mu      sync.Mutex
	changed sync.Cond
	started bool
	// accepts is true once accepts have resumed.
	accepts bool
	// blindAccepts is how many accepts then end late, by their deadline, without a look.
	blindAccepts int
}

func newStarvation() *starvation {
	s := &starvation{}
	s.changed.L = &s.mu
	return s
}

func (s *starvation) start() { s.set(&s.started) }

// set makes a condition true.
func (s *starvation) set(condition *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*condition = true
	s.changed.Broadcast()
}

// starvedListener is a listener under starvation.
type starvedListener struct {
	*net.TCPListener
	starvation *starvation
}

func (l starvedListener) Accept() (net.Conn, error) {
	s := l.starvation
	s.mu.Lock()
	for s.started && !s.accepts {
		s.changed.Wait()
	}
	blind := s.started && s.blindAccepts > 0
	if blind {
		s.blindAccepts--
	}
	s.mu.Unlock()
	if blind {
		time.Sleep(_blindDelay)
		return nil, os.ErrDeadlineExceeded
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &starvedConn{TCPConn: c, starvation: s}, nil
}

func (l starvedListener) SetDeadline(t time.Time) error {
	time.AfterFunc(_resumeDelay, func() { l.starvation.set(&l.starvation.accepts) })
	return l.TCPListener.SetDeadline(t)
}

func (l starvedListener) Close() error {
	l.starvation.set(&l.starvation.accepts)
	return l.TCPListener.Close()
}

// starvedConn is a connection under starvation.
type starvedConn struct {
	*net.TCPConn
	starvation *starvation
	expired    bool // the read deadline has passed; guarded by starvation.mu
}

func (c *starvedConn) Read(p []byte) (int, error) {
	s := c.starvation
	s.mu.Lock()
	for s.started && !c.expired {
		s.changed.Wait()
	}
	started := s.started
	s.mu.Unlock()
	if started {
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(p)
}

func (c *starvedConn) SetReadDeadline(t time.Time) error {
	s := c.starvation
	s.mu.Lock()
	defer s.mu.Unlock()
	c.expired = !t.IsZero() && !t.After(time.Now())
	s.changed.Broadcast()
	return c.TCPConn.SetReadDeadline(t)
}

// server is an HTTP server that responds with the path of the request, and its drainer.
type server struct {
	http http.Server
	// starvation is that of the server's processor.
	starvation *starvation
	drainer    drainer.Drainer
	address    string
	served     chan error
}

func startServer(t *testing.T, h http.Handler) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{address: l.Addr().String(), served: make(chan error, 1), starvation: newStarvation()}
	s.http.Handler = h
	attached := s.drainer.Attach(&s.http, starvedListener{TCPListener: l.(*net.TCPListener), starvation: s.starvation})
	go func() { s.served <- s.http.Serve(attached) }()
	t.Cleanup(func() {
		assert.NoError(t, s.http.Close())
		assert.ErrorIs(t, <-s.served, http.ErrServerClosed)
	})
	return s
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, path string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	require.NoError(t, err)
}

// receive reads a response, and requires its body to be the path.
func receive(t *testing.T, c net.Conn, path string) *http.Response {
	t.Helper()
	return receiveFrom(t, bufio.NewReader(c), path)
}

// receiveFrom is receive for a connection on which several responses may arrive at once.
func receiveFrom(t *testing.T, r *bufio.Reader, path string) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, path, string(body))
	return res
}

func (s *server) startDrain() chan error {
	drained := make(chan error, 1)
	go func() { drained <- s.drainer.Drain(context.Background()) }()
	return drained
}

// A request that has arrived on an idle connection is answered although the server had no
// processor time to read it before the connection was to be closed.
func TestUnreadRequestIsAnswered(t *testing.T) {
	var s *server
	s = startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.starvation.start()
		echo(w, r)
	}))
	c := s.dial(t)
	send(t, c, "/first")
	receive(t, c, "/first")
	send(t, c, "/second")
	drained := s.startDrain()
	assert.True(t, receive(t, c, "/second").Close)
	assert.NoError(t, <-drained)
}

// Requests on connections that wait to be accepted when the drain begins are answered.
func TestUnacceptedConnectionsAreServed(t *testing.T) {
	s := startServer(t, http.HandlerFunc(echo))
	s.starvation.blindAccepts = 5
	s.starvation.start()
	conns := make([]net.Conn, 20)
	for i := range conns {
		conns[i] = s.dial(t)
		send(t, conns[i], fmt.Sprintf("/%d", i))
	}
	drained := s.startDrain()
	for i, c := range conns {
		receive(t, c, fmt.Sprintf("/%d", i))
	}
	assert.NoError(t, <-drained)
}

// Connections on which nothing arrives are closed, idle and unused ones, and later ones are
// refused.
func TestQuietConnectionsAreClosed(t *testing.T) {
	s := startServer(t, http.HandlerFunc(echo))
	idle, unused := s.dial(t), s.dial(t)
	send(t, idle, "/a")
	receive(t, idle, "/a")
	assert.NoError(t, <-s.startDrain())
	assert.Zero(t, s.drainer.Open())
	for _, c := range []net.Conn{idle, unused} {
		_, err := c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
	_, err := net.Dial("tcp", s.address)
	assert.Error(t, err)
}

// A drain waits for responses, and closes a connection whose response began before the
// drain and did not announce it.
func TestResponsesInProgressAreWaitedFor(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-release
		echo(w, r)
	}))
	c := s.dial(t)
	send(t, c, "/slow")
	reader := bufio.NewReader(c)
	res, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, s.drainer.Drain(ctx), context.Canceled)
	close(release)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	assert.Equal(t, "/slow", string(body))
	assert.NoError(t, <-s.startDrain())
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A caller that is refused before it has sent its whole body can read the response to its
// end.
func TestRefusalOfUnsentBodyIsReceived(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}))
	c := s.dial(t)
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 8<<20, strings.Repeat("x", 64<<10))
	require.NoError(t, err)
	text, err := io.ReadAll(c)
	assert.NoError(t, err)
	assert.Contains(t, string(text), "413")
}

// Beyond the limit, the connection that has been quiet longest is closed for a new one. Where
// all are busy, the new one is closed.
func TestLimit(t *testing.T) {
	release := make(chan struct{})
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		drainer.BodyOf(r.Context()).Complete()
		if r.URL.Path == "/wait" {
			<-release
		}
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &drainer.Drainer{Limit: 3}
	go func() { _ = s.Serve(d.Attach(s, l)) }()
	defer s.Close()
	defer close(release)
	dial := func(path string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		if path != "" {
			fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		}
		return c
	}
	isClosed := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	}
	dial("/wait")
	dial("/wait")
	quiet := dial("")
	require.Eventually(t, func() bool { return d.Open() == 3 }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(600 * time.Millisecond)
	served := dial("/")
	assert.True(t, isClosed(quiet), "the quiet connection is closed")
	status, err := bufio.NewReader(served).ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, status, "200")
	dial("/wait")
	require.Eventually(t, func() bool { return d.Open() >= 3 }, 5*time.Second, 10*time.Millisecond)
	// The connection that was served becomes quiet, and leaves its place to the one that waits.
	assert.True(t, isClosed(dial("/")), "a connection beyond the limit is closed")
	assert.Positive(t, d.Refused())
}
