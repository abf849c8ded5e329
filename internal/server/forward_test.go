package server_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/server"
)

func TestServiceGetsForwardedHeaders(t *testing.T) {
	testCases := []struct {
		name  string
		given http.Header
		want  map[string]string
	}{
		{
			name: "no load balancer in front",
			want: map[string]string{"X-Forwarded-For": "192.0.2.1", "X-Forwarded-Host": "example.com", "X-Forwarded-Proto": "http"},
		},
		{
			name:  "behind a load balancer",
			given: http.Header{"X-Forwarded-For": {"198.51.100.7"}, "X-Forwarded-Host": {"forms.example"}, "X-Forwarded-Proto": {"https"}},
			want: map[string]string{
				"X-Forwarded-For": "198.51.100.7, 192.0.2.1", "X-Forwarded-Host": "forms.example", "X-Forwarded-Proto": "https",
			},
		},
		{
			name:  "forged organisation and request id",
			given: http.Header{server.HeaderOrganisation: {"bazaar"}, server.HeaderRequest: {"other"}},
			want:  map[string]string{"X-Forwarded-For": "192.0.2.1"},
		},
	}
	for _, c := range testCases {
		t.Run(c.name, func(t *testing.T) {
			var services fakeServices
			e := newEntry("e1", &fakePlatform{}, &services, nil)
			r := httptest.NewRequest(http.MethodGet, "/services/status/x", nil)
			for n, v := range c.given {
				r.Header[n] = v
			}
			r.Header.Set("Authorization", "Bearer acme-key")
			w := httptest.NewRecorder()
			e.handler.ServeHTTP(w, r)
			for n, v := range c.want {
				assert.Equal(t, v, services.lastCall.Header.Get(n), n)
			}
			assert.Equal(t, "acme", services.lastCall.Header.Get(server.HeaderOrganisation))
			assert.Equal(t, w.Header().Get(server.HeaderRequest), services.lastCall.Header.Get(server.HeaderRequest))
			assert.NotEmpty(t, services.lastCall.Header.Get(server.HeaderRequest))
		})
	}
}
