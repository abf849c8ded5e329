package server_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/server"
)

// describe returns a response in one line: its status, outcome and code or body.
func describe(w *httptest.ResponseRecorder) string {
	out := fmt.Sprintf("%d %s", w.Code, w.Header().Get("Lb-Outcome"))
	if w.Header().Get(server.HeaderReplayed) != "" {
		out += " replayed"
	}
	if w.Header().Get("Retry-After") != "" {
		out += " retry"
	}
	if _, code, ok := strings.Cut(w.Body.String(), `"code":"`); ok {
		code, _, _ = strings.Cut(code, `"`)
		return out + " " + code
	}
	return out + " " + w.Body.String()
}

func TestKeyedCalls(t *testing.T) {
	// The steps run in order; each sets the fault of both upstreams and then sends
	// a call to one of two entries.
	type step struct {
		fault   serviceFault
		options callOptions
		entry   int
		want    string
	}
	key := callOptions{key: "k"}
	testCases := []struct {
		name  string
		steps []step
		runs  int
	}{
		{name: "recorded response is replayed", runs: 1, steps: []step{
			{options: key, want: "201 ran receipt of k"},
			{options: key, want: "201 ran replayed receipt of k"},
			{options: key, entry: 1, want: "201 ran replayed receipt of k"},
		}},
		{name: "recorded failure is replayed", runs: 1, steps: []step{
			{fault: _serviceFails, options: key, want: "500 ran receipt of k"},
			{options: key, entry: 1, want: "500 ran replayed receipt of k"},
		}},
		{name: "refused by the service and sent again", runs: 1, steps: []step{
			{fault: _serviceRefuses, options: key, want: "503 not-run closed today"},
			{options: key, entry: 1, want: "201 ran receipt of k"},
			{options: key, want: "201 ran replayed receipt of k"},
		}},
		{name: "refused connection and sent again", runs: 1, steps: []step{
			{fault: _serviceUnreachable, options: key, want: "503 not-run retry service-unavailable"},
			{options: key, entry: 1, want: "201 ran receipt of k"},
		}},
		{name: "cut after the run", runs: 1, steps: []step{
			{fault: _serviceCutsAfter, options: key, want: "502 unknown outcome-unknown"},
			{options: key, want: "502 unknown replayed outcome-unknown"},
			{options: key, entry: 1, want: "502 unknown replayed outcome-unknown"},
		}},
		{name: "cut before the run", runs: 0, steps: []step{
			{fault: _serviceCutsBefore, options: key, want: "502 unknown outcome-unknown"},
			{options: key, entry: 1, want: "502 unknown replayed outcome-unknown"},
		}},
		{name: "timeout", runs: 1, steps: []step{
			{fault: _serviceSlow, options: key, want: "502 unknown outcome-unknown"},
			{options: key, entry: 1, want: "502 unknown replayed outcome-unknown"},
		}},
		{name: "key reused with another body or method", runs: 1, steps: []step{
			{options: key, want: "201 ran receipt of k"},
			{options: callOptions{key: "k", body: "another"}, entry: 1, want: "422 not-run key-reused"},
			{options: callOptions{key: "k", method: http.MethodPut}, want: "422 not-run key-reused"},
		}},
		{name: "keys belong to organisation and service", runs: 3, steps: []step{
			{options: key, want: "201 ran receipt of k"},
			{options: callOptions{key: "k", organisation: "bazaar"}, want: "201 ran receipt of k"},
			{options: callOptions{key: "k", service: "status"}, want: "201 ran receipt of k"},
		}},
		{name: "key refused", runs: 0, steps: []step{
			{options: callOptions{key: "00000000-0000-7000-8000-000000000000"}, want: "400 not-run key-expired"},
			{options: callOptions{key: "ffffffff-0000-7000-8000-000000000000"}, want: "400 not-run key-from-future"},
			{options: callOptions{key: strings.Repeat("k", 256)}, want: "400 not-run bad-key-length"},
		}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, services := &fakePlatform{}, &fakeServices{}
				entries := []*entry{newEntry("n1", store, services, nil), newEntry("n2", store, services, nil)}
				for i, s := range tc.steps {
					services.faults = map[string]serviceFault{"10.0.0.1:80": s.fault, "10.0.0.2:80": s.fault}
					assert.Equal(t, s.want, describe(entries[s.entry].call(t.Context(), s.options)), "step %d", i)
					synctest.Wait()
				}
				assert.Equal(t, tc.runs, services.runsByKey["k"])
				for _, e := range entries {
					require.NoError(t, e.recorder.Close())
				}
			})
		})
	}
}

func TestKeyedHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, services := &fakePlatform{}, &fakeServices{}
		e := newEntry("n1", store, services, nil)
		id := uuid.Must(uuid.NewV7()).String()
		first := e.call(t.Context(), callOptions{key: id})
		assert.Equal(t, id, services.lastCall.Header.Get(server.HeaderIdempotencyKey))
		assert.Empty(t, services.lastCall.Header.Get("Authorization"))
		assert.Equal(t, "/lodge%20it?fee=1", services.lastCall.Path)
		assert.Equal(t, time.Now().Add(72*time.Hour).UTC().Format(time.RFC3339), first.Header().Get(server.HeaderRememberedUntil))
		assert.Equal(t, "a=b", first.Header().Get("Set-Cookie"))
		synctest.Wait()
		again := e.call(t.Context(), callOptions{key: id})
		for _, n := range []string{"Location", "Content-Type", server.HeaderRememberedUntil} {
			assert.Equal(t, first.Header().Get(n), again.Header().Get(n), n)
		}
		assert.Empty(t, again.Header().Get("Set-Cookie"))
		require.NoError(t, e.recorder.Close())
	})
}

func TestKeyedWhilePlatformIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, services := &fakePlatform{unavailable: true}, &fakeServices{}
		e := newEntry("n1", store, services, nil)
		assert.Equal(t, "503 not-run retry records-unavailable", describe(e.call(t.Context(), callOptions{key: "k"})))
		assert.Equal(t, "201 ran receipt of ", describe(e.call(t.Context(), callOptions{})))
		assert.Zero(t, services.runsByKey["k"])
		require.NoError(t, e.recorder.Close())
	})
}

// A second call with the same key waits a bounded time for the outcome of the
// first.
func TestConcurrentCallsWithOneKey(t *testing.T) {
	testCases := []struct {
		name  string
		delay time.Duration
		fault serviceFault
		want  string
	}{
		{name: "first ends in time", delay: 2 * time.Second, want: "201 ran replayed receipt of k"},
		{name: "first times out", fault: _serviceSlow, want: "502 unknown replayed outcome-unknown"},
		{name: "first never ends", delay: time.Hour, want: "502 unknown replayed outcome-unknown"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, services := &fakePlatform{}, &fakeServices{delay: tc.delay, faults: map[string]serviceFault{"10.0.0.1:80": tc.fault}}
				a, b := newEntry("n1", store, services, nil), newEntry("n2", store, services, nil)
				done := make(chan string, 1)
				go func() { done <- describe(a.call(t.Context(), callOptions{key: "k"})) }()
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, tc.want, describe(b.call(t.Context(), callOptions{key: "k"})))
				<-done
				assert.Equal(t, 1, services.runsByKey["k"])
				require.NoError(t, a.recorder.Close())
				require.NoError(t, b.recorder.Close())
			})
		})
	}
}

// A keyed call continues when its caller hangs up.
func TestKeyedCallerHangsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, services := &fakePlatform{}, &fakeServices{}
		e := newEntry("n1", store, services, nil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		e.call(ctx, callOptions{key: "k"})
		synctest.Wait()
		assert.Equal(t, "201 ran replayed receipt of k", describe(e.call(t.Context(), callOptions{key: "k"})))
		require.NoError(t, e.recorder.Close())
	})
}

// An entry that was paused between claiming the record and sending the call must
// not send it: meanwhile another caller was told that the outcome is unknown. A
// later call may then run.
func TestKeyedAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, services := &fakePlatform{}, &fakeServices{}
		g := &gate{store: store, services: services}
		paused, other := newEntry("n1", g, g, nil), newEntry("n2", store, services, nil)
		g.pauseAfter(1)
		done := make(chan string, 1)
		go func() { done <- describe(paused.call(t.Context(), callOptions{key: "k"})) }()
		time.Sleep(time.Minute)
		assert.Equal(t, "502 unknown replayed outcome-unknown", describe(other.call(t.Context(), callOptions{key: "k"})))
		g.resume(false)
		assert.Equal(t, "503 not-run retry service-unavailable", <-done)
		synctest.Wait()
		assert.Empty(t, services.sentTo)
		assert.Equal(t, "201 ran receipt of k", describe(other.call(t.Context(), callOptions{key: "k"})))
		require.NoError(t, paused.recorder.Close())
		require.NoError(t, other.recorder.Close())
	})
}

// A response that is too large for the record reaches its first caller whole,
// and the record still says that the call ran.
func TestKeyedLargeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, services := &fakePlatform{}, &fakeServices{receiptSuffix: strings.Repeat("x", 100<<10)}
		e := newEntry("n1", store, services, nil)
		assert.Equal(t, "201 ran receipt of k"+services.receiptSuffix, describe(e.call(t.Context(), callOptions{key: "k"})))
		synctest.Wait()
		assert.Equal(t, "502 ran replayed answer-not-kept", describe(e.call(t.Context(), callOptions{key: "k"})))
		assert.Equal(t, 1, services.runsByKey["k"])
		for _, o := range store.objects {
			assert.Less(t, len(o.Value), 1<<10)
		}
		require.NoError(t, e.recorder.Close())
	})
}
