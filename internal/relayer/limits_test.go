package relayer_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

// limitProtocol reads the limit of an upstream from the header Limit; "bad" can't be read.
type limitProtocol struct{ protocol }

func (p limitProtocol) Response(h http.Header) relayer.Response {
	out := p.protocol.Response(h)
	out.FaultyUpstream = h.Get("At")
	if text := h.Get("Limit"); text != "" {
		limit, err := strconv.ParseFloat(text, 64)
		out.Limit, out.LimitStated, out.LimitInvalid = limit, err == nil, err != nil
	}
	return out
}

// limitMeter counts limits that can't be read.
type limitMeter struct{ invalidLimits int }

func (*limitMeter) CountRequest(string, string)             {}
func (*limitMeter) ObserveFirstToken(string, time.Duration) {}
func (*limitMeter) CountRefusal(string)                     {}
func (*limitMeter) CountInvalidWait()                       {}
func (m *limitMeter) CountInvalidLimit()                    { m.invalidLimits++ }

// limitResponse is a response of an upstream with status 200 unless status is set. at is the
// upstream that it says is at fault.
type limitResponse struct {
	limit, at string
	status    int
}

func TestLimitNoticeMisjudged(t *testing.T) {
	const limited, ready = screener.StateLimited, screener.StateReady
	stated := limitResponse{limit: "1e6"}
	testCases := []struct {
		name    string
		give    []limitResponse
		want    screener.State
		invalid int
	}{
		{name: "stated", give: []limitResponse{stated}, want: limited},
		{name: "stated in a refusal", give: []limitResponse{{limit: "1e6", status: http.StatusServiceUnavailable, at: "u"}}, want: limited},
		{name: "stated by another upstream", give: []limitResponse{{limit: "1e6", status: http.StatusMisdirectedRequest, at: "v"}}, want: ready},
		{name: "unreadable", give: []limitResponse{{limit: "bad"}}, want: ready, invalid: 1},
		{name: "ended", give: []limitResponse{stated, {}}, want: ready},
		{name: "unreadable does not end it", give: []limitResponse{stated, {limit: "bad"}}, want: limited, invalid: 1},
		{name: "a misdirected request does not end it", give: []limitResponse{stated, {status: http.StatusMisdirectedRequest}}, want: limited},
		{name: "another upstream does not end it", give: []limitResponse{stated, {status: http.StatusServiceUnavailable, at: "v"}}, want: limited},
		{name: "ended and stated again", give: []limitResponse{stated, {}, stated}, want: limited},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			m := &limitMeter{}
			u, relay := startLimitRelayer(t, tc.give)
			relay.Meter = m
			s := httptest.NewServer(relay)
			defer s.Close()
			for i := range tc.give {
				sendRequestWith(t, s, "/x", http.Header{"Id": {strconv.Itoa(i)}})
				time.Sleep(2 * time.Millisecond) // the clock may be coarse
			}
			assert.Equal(t, tc.want, relay.Screener.Screen(&u, time.Now()).State)
			assert.Equal(t, tc.invalid, m.invalidLimits)
		})
	}
}

// Callers are refused at once when the limit leaves no turn, also one that a peer told of,
// and the limit is told to peers.
func TestLimitNotShared(t *testing.T) {
	u, relay := startLimitRelayer(t, []limitResponse{{limit: "0.5"}})
	s := httptest.NewServer(relay)
	defer s.Close()
	assert.Equal(t, "200 done", sendRequestWith(t, s, "/x", http.Header{"Id": {"0"}}))
	assert.InDelta(t, 0.5, relay.OwnLoad().Limits[screener.LifeOf(&u)].Rate, 0)
	assert.Equal(t, "503 retry", sendRequestWith(t, s, "/x", http.Header{"Id": {"1"}}))

	u, relay = startLimitRelayer(t, []limitResponse{{}})
	relay.SetTotalLoad(sharer.TotalLoad{At: time.Now(), Load: sharer.Load{Limits: map[screener.Life]screener.LimitNotice{screener.LifeOf(&u): {Rate: 0.5}}}})
	peer := httptest.NewServer(relay)
	defer peer.Close()
	assert.Equal(t, "503 retry", sendRequestWith(t, peer, "/x", http.Header{"Id": {"0"}}))
	assert.Empty(t, relay.OwnLoad().Limits)
}

// startLimitRelayer starts an upstream that responds to one request after the other as given,
// and returns it and a relayer that sends requests to it.
func startLimitRelayer(t *testing.T, responses []limitResponse) (cataloguer.Upstream, *relayer.Relayer) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next := responses[0]
		responses = responses[1:]
		for name, value := range map[string]string{"Limit": next.limit, "At": next.at, "Id": r.Header.Get("Id"), "Seal": "s"} {
			if value != "" {
				w.Header().Set(name, value)
			}
		}
		if next.status != 0 {
			w.WriteHeader(next.status)
			return
		}
		_, _ = w.Write([]byte("done"))
	}))
	t.Cleanup(server.Close)
	u := cataloguer.Upstream{ID: "u", Service: "s", Address: server.Listener.Addr().String(), Slots: 9}
	relay := newRelayer(oneRoute(cataloguer.Route{Kind: cataloguer.KindSafe, Timeout: 5 * time.Second, Attempts: 1}, u), &balancer.Balancer{})
	relay.Protocol = limitProtocol{}
	relay.Screener.Name = "p"
	relay.Screener.SetProcesses([]string{"p"}, time.Now())
	return u, relay
}
