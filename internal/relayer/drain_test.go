package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
)

// Requests without a response at the limit of a shutdown get a final one, which says that
// they have not run only where nothing was sent.
func TestShutdownSettlesRequestsWithoutResponse(t *testing.T) {
	testCases := []struct {
		name      string
		kind      cataloguer.Kind
		resumable bool
		upstreams []string
		// unreachable makes connections to upstreams wait for ever.
		unreachable bool
		want        string
	}{
		{name: "unsafe, silent upstream", kind: cataloguer.KindUnsafe, upstreams: []string{"silent"}, want: "502"},
		{name: "safe, silent upstream", kind: cataloguer.KindSafe, upstreams: []string{"silent", "ok"}, want: "502"},
		{name: "unsafe, head without a body", kind: cataloguer.KindUnsafe, upstreams: []string{"stalled"}, want: "502"},
		{name: "stream, silent upstream", kind: cataloguer.KindStream, upstreams: []string{"silent"}, want: "502"},
		{name: "resumable stream, silent upstream", kind: cataloguer.KindStream, resumable: true, upstreams: []string{"silent", "2"}, want: "502"},
		{name: "stream, head without events", kind: cataloguer.KindStream, upstreams: []string{"stalled"}, want: "502"},
		{name: "sent again after a cut", kind: cataloguer.KindSafe, upstreams: []string{"cut", "silent"}, want: "502"},
		{name: "sent again after a refusal", kind: cataloguer.KindUnsafe, upstreams: []string{"not-run", "silent"}, want: "502"},
		{name: "unsafe, nothing sent", kind: cataloguer.KindUnsafe, upstreams: []string{"ok"}, unreachable: true, want: "503 retry"},
		{name: "stream, nothing sent", kind: cataloguer.KindStream, upstreams: []string{"2"}, unreachable: true, want: "503 retry"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var runs atomic.Int32
			s := startRelayer(t, tc.kind, tc.resumable, tc.upstreams, &runs)
			relay := s.Config.Handler.(*relayer.Relayer)
			var dials atomic.Int32
			if tc.unreachable {
				relay.Pool.Network = unreachableNetwork{dials: &dials}
			}
			result := make(chan string, 1)
			go func() { result <- sendRequest(t, s, "/a/x", "k") }()
			waiting := func() bool { return dials.Load() > 0 || isAtLast(tc.upstreams, runs.Load()) }
			require.Eventually(t, waiting, 10*time.Second, time.Millisecond)
			settle(relay)
			assert.Equal(t, tc.want, <-result)
		})
	}
}

// isAtLast reports whether the request runs at the upstream that does not respond, after so
// many runs in all.
func isAtLast(upstreams []string, runs int32) bool {
	for _, u := range upstreams {
		if u != "not-run" {
			runs--
		}
		if u == "silent" || u == "stalled" {
			return runs == 0
		}
	}
	return false
}

// A shutdown leaves a stream alone that has begun at its caller.
func TestShutdownDoesNotSettleStreamsThatBegan(t *testing.T) {
	var runs atomic.Int32
	s := startRelayer(t, cataloguer.KindStream, false, []string{"2 stalled"}, &runs)
	c := dialRelayer(t, s.Listener.Addr().String())
	fmt.Fprint(c, "POST /a/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody")
	readUntil(t, c, "id: 2\n")
	settle(s.Config.Handler.(*relayer.Relayer))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := io.ReadAll(c)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	assert.True(t, timeout.Timeout(), "the stream goes on: %v", err)
}

// A caller that has not sent its whole body at the limit of a shutdown is told that its
// request has not run.
func TestShutdownRefusesUnfinishedBodies(t *testing.T) {
	var runs atomic.Int32
	s := startRelayer(t, cataloguer.KindUnsafe, false, []string{"ok"}, &runs)
	c := dialRelayer(t, s.Listener.Addr().String())
	fmt.Fprint(c, "POST /a/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: k\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n")
	readUntil(t, c, "100 Continue\r\n\r\n")
	settle(s.Config.Handler.(*relayer.Relayer))
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Contains(t, string(text), "503 Service Unavailable")
	assert.Contains(t, string(text), "Retry-After")
	assert.Zero(t, runs.Load())
}

// settle makes a relayer respond to its open requests, as at the limit of a shutdown.
func settle(s *relayer.Relayer) {
	now := time.Now()
	s.StartDraining(relayer.Shutdown{BeganAt: now, NoticeEnd: now, SettleAt: now})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.SettleRequests(ctx)
}

// unreachableNetwork is a network on which no connection is ever made.
type unreachableNetwork struct{ dials *atomic.Int32 }

func (n unreachableNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	n.dials.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unreachableNetwork) ListenPacket(string) (net.PacketConn, error) {
	return nil, errors.ErrUnsupported
}

func (unreachableNetwork) Listen(string, string) (net.Listener, error) {
	return nil, errors.ErrUnsupported
}

func dialRelayer(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	return c
}

// readUntil reads until a text has been received.
func readUntil(t *testing.T, r io.Reader, text string) {
	got := ""
	for buffer := make([]byte, 1); len(got) < len(text) || got[len(got)-len(text):] != text; {
		_, err := io.ReadFull(r, buffer)
		require.NoError(t, err)
		got += string(buffer)
	}
}
