package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

// partsProtocol is a protocol whose prompts all begin with the same part.
type partsProtocol struct{ protocol }

func (p partsProtocol) Request(h http.Header) relayer.Request {
	r := p.protocol.Request(h)
	r.SharedParts = slices.Values([]string{"part"})
	return r
}

// Upstreams that send bytes that are no response for a while have not crashed: the part that all
// prompts begin with is not quarantined, and requests are served once the upstreams are sound.
func TestMalformedResponsesQuarantineNothing(t *testing.T) {
	testCases := []struct{ name, bytes string }{
		{name: "no protocol", bytes: "no answer no answer "},
		{name: "no head", bytes: "HTTP/1.1 200 OK\r\nno field\r\n\r\n"},
		{name: "no status", bytes: "HTTP/1.1 000 OK\r\n\r\n"},
		{name: "no line", bytes: "\r\n\r\n"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var inTrouble atomic.Bool
			inTrouble.Store(true)
			handler := upstreamHandler("2", &atomic.Int32{})
			var upstreams []cataloguer.Upstream
			for n := range 6 {
				u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if !inTrouble.Load() {
						handler.ServeHTTP(w, r)
						return
					}
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err)
					}
					_, _ = io.WriteString(c, tc.bytes)
					_ = c.Close()
				}))
				t.Cleanup(u.Close)
				upstreams = append(upstreams, cataloguer.Upstream{ID: fmt.Sprint(n), Address: u.Listener.Addr().String(), Slots: 9, Group: cataloguer.Membership{Name: fmt.Sprint(n), State: cataloguer.MemberOpen}})
			}
			k := oneRoute(cataloguer.Route{Kind: cataloguer.KindStream, Resumable: true, Timeout: 5 * time.Second, LatencyTarget: time.Second, Attempts: 2}, upstreams...)
			k.Configuration().Services["s"] = cataloguer.Service{Name: "s", Engine: &cataloguer.Engine{Slots: 9}}
			relay := newRelayer(k, &balancer.Balancer{})
			relay.Protocol = partsProtocol{}
			s := httptest.NewServer(relay)
			defer s.Close()
			exchange := func() { relay.SetTotalLoad(sharer.TotalLoad{At: time.Now(), Load: relay.OwnLoad()}) }
			for n := range 24 {
				sendRequestWith(t, s, "/x", http.Header{"Id": {strconv.Itoa(n)}})
				exchange()
			}
			inTrouble.Store(false)
			time.Sleep(1100 * time.Millisecond)
			exchange()
			assert.Equal(t, "200 1 2", sendRequestWith(t, s, "/x", http.Header{"Id": {"later"}}))
		})
	}
}
