package server_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// leaving is a ServicePoller with a fixed set of addresses of upstreams that are
// leaving.
type leaving map[string]bool

func (l leaving) Leaving(address string) bool { return l[address] }

func TestServiceUpstreams(t *testing.T) {
	const near, far = "10.0.0.1:80", "10.0.0.2:80"
	both := func(f serviceFault) map[string]serviceFault { return map[string]serviceFault{near: f, far: f} }
	status := callOptions{service: "status", method: http.MethodGet}
	testCases := []struct {
		name    string
		options callOptions
		faults  map[string]serviceFault
		leaving leaving
		want    string
		sent    string // addresses, in the order of the calls
	}{
		{name: "own data centre first", want: "201 ran receipt of ", sent: near},
		{name: "refused connection", faults: map[string]serviceFault{near: _serviceUnreachable}, want: "201 ran receipt of ", sent: near + " " + far},
		{name: "refused everywhere", faults: both(_serviceUnreachable), want: "503 not-run retry service-unavailable", sent: near + " " + far},
		{name: "keyed and refused connection", options: callOptions{key: "k"}, faults: map[string]serviceFault{near: _serviceUnreachable}, want: "201 ran receipt of k", sent: near + " " + far},
		{name: "unrepeatable and cut", faults: both(_serviceCutsBefore), want: "502 unknown outcome-unknown", sent: near},
		{name: "unrepeatable idempotent method and cut", options: callOptions{method: http.MethodPut}, faults: both(_serviceCutsBefore), want: "502 unknown outcome-unknown", sent: near},
		{name: "repeatable and cut", options: status, faults: map[string]serviceFault{near: _serviceCutsBefore}, want: "201 ran receipt of ", sent: near + " " + far},
		{name: "repeatable POST and cut", options: callOptions{service: "status"}, faults: both(_serviceCutsBefore), want: "502 unknown outcome-unknown", sent: near},
		{name: "leaving", leaving: leaving{near: true}, want: "201 ran receipt of ", sent: far},
		{name: "all leaving", leaving: leaving{near: true, far: true}, want: "503 not-run retry no-upstream"},
		{name: "unknown service", options: callOptions{service: "nothing"}, want: "404 not-run unknown-service"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				services := &fakeServices{faults: tc.faults}
				e := newEntry("n1", &fakePlatform{}, services, tc.leaving)
				assert.Equal(t, tc.want, describe(e.call(t.Context(), tc.options)))
				assert.Equal(t, tc.sent, strings.Join(services.sentTo, " "))
				require.NoError(t, e.recorder.Close())
			})
		})
	}
}

// A call that one upstream ran and the next one did not is not refused as not run.
func TestRepeatedCallThatRanIsNotRefusedAsNotRun(t *testing.T) {
	for _, second := range []serviceFault{_serviceUnreachable, _serviceRefuses} {
		t.Run(string(second), func(t *testing.T) {
			services := &fakeServices{faults: map[string]serviceFault{"10.0.0.1:80": _serviceCutsAfter, "10.0.0.2:80": second}}
			e := newEntry("n1", &fakePlatform{}, services, nil)
			w := e.call(t.Context(), callOptions{service: "status", method: http.MethodPut, request: "r"})
			require.Equal(t, 1, services.runsByRequest["r"])
			assert.Equal(t, "502 unknown outcome-unknown", describe(w))
			assert.Equal(t, []string{"10.0.0.1:80", "10.0.0.2:80"}, services.sentTo)
			require.NoError(t, e.recorder.Close())
		})
	}
}
