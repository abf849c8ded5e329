package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// Guards against a status that is none reaching a caller, and against a request that waits for
// another response after one.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const rest = " x\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	testCases := []struct{ name, text string }{
		{name: "000", text: "HTTP/1.1 000" + rest},
		{name: "000 without a body", text: "HTTP/1.1 000 x\r\nId: 1\r\n\r\n"},
		{name: "000 before a response", text: "HTTP/1.1 000" + rest + _completeResponse},
		{name: "099 before a response", text: "HTTP/1.1 099 x\r\nId: 1\r\n\r\n" + _completeResponse},
		{name: "+20", text: "HTTP/1.1 +20" + rest},
		{name: "-20", text: "HTTP/1.1 -20" + rest},
		{name: "101", text: "HTTP/1.1 101 x\r\nId: 1\r\n\r\n" + _completeResponse},
		{name: "600", text: "HTTP/1.1 600" + rest},
		{name: "999", text: "HTTP/1.1 999" + rest},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, tc.text)
			p := &forwarder.Pool{Network: networker.System{}}
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := p.Send(ctx, u.address, &forwarder.Request{
				Method: http.MethodGet, Target: "/", Host: "h", ID: "1", Matches: func(h http.Header, _ bool) bool { return h.Get("Id") == "1" },
			})
			var f *forwarder.ExchangeError
			require.ErrorAs(t, err, &f)
			assert.True(t, f.Sent, "the request may have run")
			require.NoError(t, ctx.Err(), "the request must not wait for another response")
		})
	}
}
