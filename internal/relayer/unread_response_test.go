package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Guards against callers who don't read their responses and so hold the slots of an upstream, or
// the memory of responses, for all others.
func TestUnreadResponsesHoldNothing(t *testing.T) {
	const size, slots = 7 << 20, 2
	body := make([]byte, size)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		_, _ = w.Write(body) // the relayer may have closed the connection
	}))
	defer upstream.Close()
	k := oneRoute(
		cataloguer.Route{Kind: cataloguer.KindSafe, Timeout: 5 * time.Second, Attempts: 1},
		cataloguer.Upstream{ID: "u", Address: upstream.Listener.Addr().String(), Slots: slots},
	)
	relay := newRelayer(k, &balancer.Balancer{})
	relay.Responses.Limit = 32 << 20
	s := httptest.NewServer(relay)
	defer s.Close()
	for n := range 3 * slots {
		unread, err := net.Dial("tcp", s.Listener.Addr().String())
		require.NoError(t, err)
		defer unread.Close()
		_, err = fmt.Fprintf(unread, "GET /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: unread-%d\r\n\r\n", n)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return relay.Responses.Used() > 0 }, time.Minute, time.Millisecond)
		// The response is read from the upstream, and its caller does not take it.
		require.Eventually(t, func() bool { return relay.Balancer.InFlight() == 0 }, time.Minute, time.Millisecond, "the slot is free")
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL+"/x", nil)
	require.NoError(t, err)
	request.Header.Set("Id", "ordinary")
	response, err := s.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	assert.Equal(t, int64(size), n, "an ordinary caller gets the whole response")
	assert.LessOrEqual(t, relay.Responses.Used(), relay.Responses.Limit)
}
