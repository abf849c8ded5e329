package storer_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// A write is uncertain only where it may have reached the platform.
func TestWriteErrors(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	testCases := []struct {
		name    string
		handler http.HandlerFunc // nil is no listener
		want    error
	}{
		{name: "nobody listens", want: storer.ErrUnavailable},
		{name: "cut", want: storer.ErrUncertain, handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{name: "out", want: storer.ErrUnavailable, handler: status(http.StatusServiceUnavailable)},
		{name: "over the rate", want: storer.ErrUnavailable, handler: status(http.StatusTooManyRequests)},
		{name: "failed", want: storer.ErrUncertain, handler: status(http.StatusInternalServerError)},
		{name: "late gateway", want: storer.ErrUncertain, handler: status(http.StatusGatewayTimeout)},
		{name: "changed", want: storer.ErrConflict, handler: status(http.StatusPreconditionFailed)},
		{name: "gone", want: storer.ErrNotFound, handler: status(http.StatusNotFound)},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			address := l.Addr().String()
			if tc.handler == nil {
				l.Close()
			} else {
				s := &httptest.Server{Listener: l, Config: &http.Server{Handler: tc.handler}}
				s.Start()
				defer s.Close()
			}
			c := storer.New("http://"+address, networker.System{})
			defer c.Close()
			_, err = c.Create(t.Context(), "k", []byte("{}"))
			assert.ErrorIs(t, err, tc.want)
			_, err = c.Update(t.Context(), "k", 1, []byte("{}"))
			assert.ErrorIs(t, err, tc.want)
			assert.ErrorIs(t, c.Delete(t.Context(), "k", 1), tc.want)
		})
	}
}
