package relayer_test

import (
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

// outcomeMeter passes on the outcomes of finished requests.
type outcomeMeter struct {
	relayer.Meter
	outcomes chan string
}

func (m outcomeMeter) CountRequest(_, outcome string) { m.outcomes <- outcome }

// A caller that has closed its sending side gets no success that no upstream gave.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	testCases := []struct {
		name     string
		kind     cataloguer.Kind
		upstream string
	}{
		{name: "unsafe", kind: cataloguer.KindUnsafe, upstream: "silent"},
		{name: "safe", kind: cataloguer.KindSafe, upstream: "silent"},
		{name: "stream", kind: cataloguer.KindStream, upstream: "silent"},
		{name: "head without a body", kind: cataloguer.KindUnsafe, upstream: "stalled"},
		{name: "stream, head without events", kind: cataloguer.KindStream, upstream: "stalled"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var runs atomic.Int32
			s := startRelayer(t, tc.kind, false, []string{tc.upstream}, &runs)
			m := outcomeMeter{outcomes: make(chan string, 1)}
			s.Config.Handler.(*relayer.Relayer).Meter = m
			c := dialRelayer(t, s.Listener.Addr().String())
			fmt.Fprint(c, "POST /a/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody")
			require.Eventually(t, func() bool { return runs.Load() == 1 }, 5*time.Second, time.Millisecond)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			text, err := io.ReadAll(c)
			assert.NoError(t, err, "the connection is closed")
			assert.Empty(t, string(text))
			assert.Equal(t, "caller-left", <-m.outcomes)
		})
	}
}
