package composer

import (
	"github.com/lycheebarrow/lycheebarrow/internal/accountant"
	"github.com/lycheebarrow/lycheebarrow/internal/drainer"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/relayer"
)

// registerCallerGauges defines the gauges of what callers hold of an instance.
func registerCallerGauges(m *meter.Meter, rl *relayer.Relayer, d *drainer.Drainer, h *accountant.Heap) error {
	bodies, responses := &rl.Bodies, &rl.Responses
	for _, x := range []struct {
		name, description string
		read              func() int64
	}{
		{"body_memory_bytes", "Memory of callers' request bodies.", bodies.Used},
		{"body_memory_limit_bytes", "Largest memory of callers' request bodies; 0 for no limit.", func() int64 { return bodies.Limit }},
		{"bodies_stalled", "Request bodies that had stopped coming and lost their memory to others, since the start.", bodies.Revoked},
		{"response_memory_bytes", "Memory of responses that are read whole before they are passed on.", responses.Used},
		{"responses_stalled", "Responses that their callers did not take and that lost their memory to others, since the start.", responses.Revoked},
		{"unread_memory_bytes", "Bytes that callers' connections may have received and the process not read, at most.", h.Unread},
		{"caller_connections_slow", "Connections of callers that were closed for another one while a request came, since the start.", d.SlowCut},
		{"caller_connections_limit", "Largest number of callers' connections; 0 for no limit.", func() int64 { return int64(d.Limit) }},
		{"caller_connections", "Open connections of callers.", func() int64 { return int64(d.Open()) }},
		{"caller_connections_refused", "Connections of callers that were closed because too many were open, since the start.", d.Refused},
		{"caller_head_memory_bytes", "Estimated memory of the heads of callers' requests.", d.HeadMemory},
		{"caller_heads_cut", "Connections of callers that were closed for the memory of their heads, since the start.", d.HeadsCut},
	} {
		if err := m.RegisterGauge(x.name, x.description, x.read); err != nil {
			return err
		}
	}
	return nil
}
