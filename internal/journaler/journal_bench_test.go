package journaler_test

import (
	"testing"

	"github.com/lycheebarrow/lycheebarrow/internal/journaler"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// BenchmarkRecord measures the recording of one route event. The bytes allocated for each
// operation are what the event takes in a full ring buffer.
func BenchmarkRecord(b *testing.B) {
	var j journaler.Journal
	b.ReportAllocs()
	for b.Loop() {
		j.Record("route", logger.Fields{
			"request": "e8f28c52-2684-4de9-80c6-87ffd436a950", "organisation": "tallowgum", "model": "form-assistant",
			"upstream": "bne-engine-1", "replica": "forms-bne/bne-fabric-1/1", "group": "forms-bne", "generation": uint64(7),
			"reason": "least-load", "candidates": 4, "wait_ms": int64(12), "long": false,
		})
	}
}
