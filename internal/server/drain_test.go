package server_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/dispatcher"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/server"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// fullDispatcher never has a free slot.
type fullDispatcher struct{}

func (fullDispatcher) Acquire(ctx context.Context, _ scheduler.Request) (*dispatcher.Slot, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A call without a response at the limit of a shutdown gets a final one.
func TestShutdownSettlesCalls(t *testing.T) {
	testCases := []struct {
		name    string
		options callOptions
	}{
		{name: "unrepeatable"},
		{name: "unrepeatable with a key", options: callOptions{key: "k"}},
		{name: "repeatable", options: callOptions{service: "status"}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEntry("n1", &fakePlatform{}, &fakeServices{faults: map[string]serviceFault{"10.0.0.1:80": _serviceSlow}}, nil)
				result := make(chan string, 1)
				go func() { result <- describe(e.call(t.Context(), tc.options)) }()
				synctest.Wait()
				settle(e.server)
				synctest.Wait()
				select {
				case r := <-result:
					assert.Equal(t, "502 unknown outcome-unknown", r)
				default:
					assert.Fail(t, "no response at the limit")
				}
				require.NoError(t, e.recorder.Close())
			})
		})
	}
}

// A chat request that waits for a slot at the limit of a shutdown is told that it has not
// run.
func TestShutdownSettlesWaitingChats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := configurer.New(nil, nil, logger.Logger{})
		document := fmt.Sprintf(`{"organisations": {"acme": {"keys_sha256": [%q]}},
			"groups": {"g": {"model": "m", "version": "v1", "data_centre": "near", "replicas": 1, "members": 1}}}`, authenticator.Digest("acme-key"))
		require.True(t, c.ApplyRecord(&wire.ConfigurationRecord{Number: 1, Document: document}, "test"))
		s := &server.Server{Configuration: c, Dispatcher: fullDispatcher{}, MaxBodyBytes: 1 << 20}
		r := httptest.NewRequestWithContext(t.Context(), "POST", "/v1/chat/completions", strings.NewReader(`{"model": "m", "messages": [{"role": "user", "content": "x"}]}`))
		r.Header.Set("Authorization", "Bearer acme-key")
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			s.Handler().ServeHTTP(w, r)
			close(done)
		}()
		synctest.Wait()
		settle(s)
		<-done
		assert.Equal(t, "503 not-run retry draining", describe(w))
		assert.Equal(t, "close", w.Header().Get("Connection"))
	})
}

// settle makes a server respond to its open requests, as at the limit of a shutdown.
func settle(s *server.Server) {
	s.Drain()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Settle(ctx)
}
