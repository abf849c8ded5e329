package streamer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// confirmed is a Confirmer for which all members are always ready.
type confirmed struct{}

func (confirmed) Confirmed(*wire.Replica) time.Time    { return time.Now() }
func (confirmed) MarkActive(*wire.Replica) func()      { return func() {} }
func (confirmed) PresentSince(*wire.Replica) time.Time { return time.Unix(1, 0) }
func (confirmed) Changed() <-chan struct{}             { return nil }

// copyingEngine refuses the first attempt with a status. It runs the others and precedes
// their responses with a copy of the refusal.
type copyingEngine struct {
	status string
	// responds says whether a response follows the copy at once, or never.
	responds bool
	refusal  string
	runs     atomic.Int32
	closed   chan struct{} // closed when a client has closed its connection
}

func (e *copyingEngine) serve(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	defer close(e.closed)
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, e.respond(req.Header))
	}
}

func (e *copyingEngine) respond(h http.Header) string {
	attempt := h.Get(engineclient.HeaderAttempt)
	if e.refusal == "" {
		e.refusal = fmt.Sprintf("HTTP/1.1 %s\r\nLb-Attempt: %s\r\nContent-Length: 0\r\n\r\n", e.status, attempt)
		return e.refusal
	}
	e.runs.Add(1)
	if !e.responds {
		return e.refusal
	}
	body := fmt.Sprintf("data: {\"id\":%q,\"choices\":[]}\n\ndata: [DONE]\n\n", attempt)
	return fmt.Sprintf("%sHTTP/1.1 200 OK\r\nLb-Attempt: %s\r\nLb-Replica: %s\r\nLb-Generation: %s\r\nContent-Length: %d\r\n\r\n%s",
		e.refusal, attempt, h.Get(engineclient.HeaderReplica), h.Get(engineclient.HeaderGeneration), len(body), body)
}

// run runs one attempt at an engine.
func run(t *testing.T, s *streamer.Streamer, engine net.Listener) error {
	var p streamer.Progress
	replica := &wire.Replica{Name: "r", Generation: 1, Addresses: []string{engine.Addr().String()}}
	limits := streamer.Limits{Window: time.Second, EvidenceLimit: time.Second, IdleTimeout: 2 * time.Second}
	return s.Run(t.Context(), replica, engineclient.ChatRequest{Model: "m"}, limits, &p, func(streamer.Piece) error { return nil })
}

// A late copy of a refusal on a kept connection does not pass for the refusal of the next attempt.
func TestStaleRefusalIsNoRefusal(t *testing.T) {
	for _, status := range []string{"409 Conflict", "429 Too Many Requests", "503 Service Unavailable"} {
		for _, responds := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, responds=%t", status, responds), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer l.Close()
				e := &copyingEngine{status: status, responds: responds, closed: make(chan struct{})}
				go e.serve(l)
				s := streamer.New(networker.System{}, confirmed{})
				defer s.Close()
				first := run(t, s, l)
				assert.NotErrorIs(t, first, streamer.ErrWrongAttempt)
				require.Error(t, first)
				second := run(t, s, l)
				require.Equal(t, int32(1), e.runs.Load(), "the engine ran the second attempt")
				assert.NotErrorIs(t, second, streamer.ErrFull)
				assert.NotErrorIs(t, second, streamer.ErrRefused)
				assert.ErrorIs(t, second, streamer.ErrWrongAttempt)
				select {
				case <-e.closed:
				case <-time.After(5 * time.Second):
					assert.Fail(t, "the connection of an attempt that may run stays open")
				}
			})
		}
	}
}

// Only an attempt that the engine has not run counts as refused, or as not sent.
func TestErrorIsNoRefusal(t *testing.T) {
	testCases := []struct {
		status string // empty for a connection that is refused
		want   error
	}{
		{want: streamer.ErrNotSent},
		{status: "409 Conflict", want: streamer.ErrRefused},
		{status: "429 Too Many Requests", want: streamer.ErrFull},
		{status: "500 Internal Server Error", want: streamer.ErrTruncated},
	}
	for _, tc := range testCases {
		t.Run(tc.status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			if tc.status == "" {
				require.NoError(t, l.Close())
			}
			go (&copyingEngine{status: tc.status, closed: make(chan struct{})}).serve(l)
			s := streamer.New(networker.System{}, confirmed{})
			defer s.Close()
			assert.ErrorIs(t, run(t, s, l), tc.want)
		})
	}
}
