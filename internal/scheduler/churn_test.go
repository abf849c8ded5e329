package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// In a day in which replicas and organisations come and go, the records of those that are
// gone are removed. Each replica refuses a request or loses one before it vanishes.
func TestRecordsOfADay(t *testing.T) {
	s := scheduler.Scheduler{Router: router.Router{EvidenceLimit: time.Hour}, ShortWait: time.Second}
	now := time.UnixMilli(1_000_000)
	for n := range 24 * 60 {
		replica := &wire.Replica{Name: fmt.Sprintf("r%d", n), Generation: 1, Slots: 1, Members: []string{"i"}}
		candidates := func(string, string) []router.Candidate {
			return []router.Candidate{{Replica: replica, Confirmed: now, ReportedAt: now}}
		}
		var ids []uint64
		for range 2 {
			id, err := s.Add(scheduler.Request{ID: "q", Organisation: fmt.Sprintf("o%d", n), Model: "m"}, now)
			assert.NoError(t, err)
			ids = append(ids, id)
		}
		// The first request gets the slot, and the second waits until its deadline.
		s.Schedule(now, candidates)
		now = now.Add(time.Second)
		if n%2 == 0 {
			s.ReleaseRefused(ids[0], now)
		} else {
			s.Release(ids[0], 0, now)
		}
		s.Schedule(now.Add(time.Second), func(string, string) []router.Candidate { return nil })
		now = now.Add(59 * time.Second)
	}
	replicas, queues := s.RecordCounts()
	assert.LessOrEqual(t, replicas, 2)
	assert.LessOrEqual(t, queues, 2)
}
