package server_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/dispatcher"
	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/reader"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/server"
	"github.com/lycheebarrow/lycheebarrow/internal/streamer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// readyClient is a StatusClient for which every instance is ready in replica r.
type readyClient struct{}

func (readyClient) Status(_ context.Context, address string) (engineclient.Status, error) {
	return engineclient.Status{Instance: address, Replica: "r", Generation: 1, Model: "m", Version: "v1", State: engineclient.StateReady}, nil
}

// failingStreamer is a Streamer whose attempts fail before the first token.
type failingStreamer struct {
	err  error
	runs int
}

func (s *failingStreamer) Run(context.Context, *wire.Replica, engineclient.ChatRequest, streamer.Limits, *streamer.Progress, func(streamer.Piece) error) error {
	s.runs++
	return s.err
}

// onceDispatcher grants one slot, and is full then.
type onceDispatcher struct {
	*dispatcher.Dispatcher
	granted bool
}

func (d *onceDispatcher) Acquire(ctx context.Context, q scheduler.Request) (*dispatcher.Slot, error) {
	if d.granted {
		return nil, scheduler.ErrQueueFull
	}
	d.granted = true
	return d.Dispatcher.Acquire(ctx, q)
}

// newOnceDispatcher returns a dispatcher with one replica, which runs until the test ends,
// and its configuration.
func newOnceDispatcher(t *testing.T) (*onceDispatcher, *configurer.Configurer) {
	c := configurer.New(nil, &reader.Schedule{}, logger.Logger{})
	document := fmt.Sprintf(`{"organisations": {"acme": {"keys_sha256": [%q]}},
		"groups": {"g": {"model": "m", "version": "v1", "data_centre": "near", "replicas": 1, "members": 1}}}`, authenticator.Digest("acme-key"))
	require.True(t, c.ApplyRecord(&wire.ConfigurationRecord{Number: 1, Document: document}, "test"))
	tr := placementtracker.New(nil, &reader.Schedule{}, logger.Logger{})
	require.True(t, tr.ApplyPlacement(&wire.Placement{DataCentre: "near", Domain: "f1", Revision: 1, Replicas: []*wire.Replica{{
		Name: "r", Group: "g", Generation: 1, Model: "m", Version: "v1", Members: []string{"i"}, Addresses: []string{"i"}, Slots: 1, State: wire.ReplicaState_REPLICA_STATE_SERVING,
	}}}))
	p := prober.New(readyClient{}, logger.Logger{})
	p.SetTargets([]prober.Target{{Instance: "i", Address: "i", Interval: 100 * time.Millisecond}})
	d := dispatcher.New("near", c, tr, p, logger.Logger{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		require.NoError(t, p.Close())
	})
	time.Sleep(time.Second)
	return &onceDispatcher{Dispatcher: d}, c
}

// A chat request that a replica may have run, and for which no slot is free then, is not
// refused as not run.
func TestChatThatRanIsNotRefusedAsNotRun(t *testing.T) {
	testCases := []struct {
		err  error
		want string
	}{
		{err: streamer.ErrTruncated, want: "502 unknown retry queue-full"},
		{err: streamer.ErrWrongAttempt, want: "502 unknown retry queue-full"},
		{err: streamer.ErrUnconfirmed, want: "502 unknown retry queue-full"},
		{err: streamer.ErrFull, want: "429 not-run retry queue-full"},
		{err: streamer.ErrNotSent, want: "429 not-run retry queue-full"},
		{err: streamer.ErrRefused, want: "429 not-run retry queue-full"},
	}
	for _, tc := range testCases {
		t.Run(tc.err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, c := newOnceDispatcher(t)
				b := &failingStreamer{err: tc.err}
				s := &server.Server{Configuration: c, Dispatcher: d, Streamer: b, MaxBodyBytes: 1 << 20}
				r := httptest.NewRequestWithContext(t.Context(), "POST", "/v1/chat/completions", strings.NewReader(`{"model": "m", "messages": [{"role": "user", "content": "x"}]}`))
				r.Header.Set("Authorization", "Bearer acme-key")
				w := httptest.NewRecorder()
				s.Handler().ServeHTTP(w, r)
				assert.Equal(t, 1, b.runs)
				assert.Equal(t, tc.want, describe(w))
			})
		})
	}
}
