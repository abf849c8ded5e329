package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Guards against a begun stream that waits until its end for another upstream, or gives up, where
// both that serve refuse it a few times.
func TestBegunStreamReturnsToItsUpstream(t *testing.T) {
	const events, maxRefusals = 6, 3
	var sends, refusals atomic.Int32
	refuse := func(w http.ResponseWriter, r *http.Request) {
		refusals.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	start := func(h http.HandlerFunc) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	first := start(func(w http.ResponseWriter, r *http.Request) {
		if sends.Load() > 0 && refusals.Load() < maxRefusals {
			refuse(w, r)
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		from, _ := strconv.Atoi(r.Header.Get("Last")) // 0 for the first send
		last := events
		if sends.Add(1) == 1 {
			last = events / 2
		}
		for n := from + 1; n <= last; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = http.NewResponseController(w).Flush()
		}
		if last < events {
			panic(http.ErrAbortHandler)
		}
	})
	second := start(refuse)
	k := oneRoute(
		cataloguer.Route{Kind: cataloguer.KindStream, Resumable: true, Timeout: 20 * time.Second, Attempts: 2},
		cataloguer.Upstream{ID: "a", Address: first, DataCentre: "x", Slots: 9}, cataloguer.Upstream{ID: "b", Address: second, DataCentre: "y", Slots: 9},
	)
	relay := newRelayer(k, &balancer.Balancer{})
	relay.DataCentre = "x" // so that the first is preferred
	s := httptest.NewServer(relay)
	defer s.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/x", nil)
	require.NoError(t, err)
	request.Host = "127.0.0.1"
	request.Header.Set("Id", "r")
	response, err := s.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Contains(t, string(body), fmt.Sprintf("id: %d\n", events))
	assert.Equal(t, int32(2), sends.Load())
	assert.GreaterOrEqual(t, refusals.Load(), int32(maxRefusals))
}
