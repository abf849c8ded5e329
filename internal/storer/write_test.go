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

// TestWriteErrors checks that Create, Update and Delete return ErrUncertain only
// if the platform may have carried out the write.
func TestWriteErrors(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	testCases := []struct {
		name    string
		handler http.HandlerFunc // nil: nothing listens at the address
		want    error
	}{
		{name: "no listener", want: storer.ErrUnavailable},
		{name: "connection closed without a response", want: storer.ErrUncertain, handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{name: "service unavailable", want: storer.ErrUnavailable, handler: status(http.StatusServiceUnavailable)},
		{name: "rate limit exceeded", want: storer.ErrUnavailable, handler: status(http.StatusTooManyRequests)},
		{name: "internal server error", want: storer.ErrUncertain, handler: status(http.StatusInternalServerError)},
		{name: "gateway timeout", want: storer.ErrUncertain, handler: status(http.StatusGatewayTimeout)},
		{name: "precondition failed", want: storer.ErrConflict, handler: status(http.StatusPreconditionFailed)},
		{name: "bad request", want: storer.ErrUnavailable, handler: status(http.StatusBadRequest)},
		{name: "request timeout", want: storer.ErrUncertain, handler: status(http.StatusRequestTimeout)},
		{name: "not found", want: storer.ErrNotFound, handler: status(http.StatusNotFound)},
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

// A write whose response holds no version has an unknown outcome, and a read of a value
// over the limit fails.
func TestMalformedResponses(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Header().Set("ETag", `"1"`)
			_, _ = w.Write(make([]byte, storer.MaxValueBytes+1))
		}
	}
	s := httptest.NewServer(http.HandlerFunc(handler))
	defer s.Close()
	c := storer.New(s.URL, networker.System{})
	defer c.Close()
	_, err := c.Create(t.Context(), "k", []byte("{}"))
	require.ErrorIs(t, err, storer.ErrUncertain)
	_, err = c.Update(t.Context(), "k", 1, []byte("{}"))
	require.ErrorIs(t, err, storer.ErrUncertain)
	require.NoError(t, c.Delete(t.Context(), "k", 1))
	_, err = c.Get(t.Context(), "k")
	require.ErrorIs(t, err, storer.ErrUnavailable)
}
