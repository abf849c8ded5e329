package sharer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// All processes learn the newest evidence of each upstream's limit within 700 ms.
func TestLimitsNotExchanged(t *testing.T) {
	runSystem(t, 4, func(s *system) {
		time.Sleep(3 * time.Second)
		for name, p := range s.processes {
			got := p.totalLoad().Limits
			assert.Len(t, got, 3, name)
			assert.InDelta(t, 2, got[screener.Life{Upstream: "u", StartedMs: 7}].Rate, 0, name)
			assert.InDelta(t, 0.25, got[screener.Life{Upstream: "v", StartedMs: 8}].Rate, 0, name)
			assert.True(t, got[screener.Life{Upstream: "u", StartedMs: 9}].Ended, name)
			assert.LessOrEqual(t, got[screener.Life{Upstream: "u", StartedMs: 7}].Age, 800*time.Millisecond, name)
			assert.GreaterOrEqual(t, got[screener.Life{Upstream: "u", StartedMs: 7}].Age, 100*time.Millisecond, name)
		}
	})
}
