package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
	"github.com/lycheebarrow/lycheebarrow/internal/scheduler"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// BenchmarkSchedule releases one slot and runs a scheduling pass over 1,000
// waiting requests of ten organisations when all replicas are full.
func BenchmarkSchedule(b *testing.B) {
	for _, replicas := range []int{10, 100, 600, 1000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			now := time.UnixMilli(0)
			s := scheduler.Scheduler{ShortWait: time.Hour, LongWait: time.Hour}
			s.Router = router.Router{EvidenceLimit: time.Hour, LongShare: 0.4, Entries: 7}
			s.Estimator.LongTokens = 512
			list := make([]router.Candidate, replicas)
			for i := range list {
				r := &wire.Replica{Name: fmt.Sprintf("forms/f%d/1", i), Generation: 1, Slots: 8}
				list[i] = router.Candidate{Replica: r, Confirmed: now, ReportedLoad: 8, ReportedAt: now}
			}
			list[replicas/2].ReportedLoad = 7
			candidates := func(string, string) []router.Candidate { return append([]router.Candidate(nil), list...) }
			for i := range 1000 {
				q := scheduler.Request{Organisation: fmt.Sprint(i % 10), Model: "m", MaxTokens: 64 << (i % 7)}
				_, _ = s.Add(q, now)
			}
			outcomes := s.Schedule(now, candidates)
			for b.Loop() {
				now = now.Add(time.Microsecond)
				for _, o := range outcomes {
					s.Release(o.ID(), 0, now)
					_, _ = s.Add(o.Request(), now)
				}
				outcomes = s.Schedule(now, candidates)
			}
		})
	}
}
