package planner_test

import (
	"fmt"
	"testing"
)

// BenchmarkDecide measures a decision about a data centre that needs no change, which
// is the usual case, and about one without enough instances for the last declared
// replica.
// Command: go test ./internal/planner -run '^$' -bench Decide -benchmem
func BenchmarkDecide(b *testing.B) {
	for _, size := range []int{10, 50, 100, 200, 400} {
		for _, replicas := range []int{1, size / 8, size/8 + 1} {
			b.Run(fmt.Sprintf("instances=%d/replicas=%d", size, replicas), func(b *testing.B) {
				s := newSimulation()
				for i := range size {
					_ = s.runCommand("domain", fmt.Sprintf("f%d", i/16), fmt.Sprintf("i%03d", i))
				}
				_ = s.runCommand("group", "forms", fmt.Sprintf("replicas=%d", replicas), "members=8", "version=v1")
				s.state.Document.Policy.MaxLoads = size
				for range 100 {
					s.step(b)
				}
				for b.Loop() {
					s.planner.Decide(s.state, s.now)
				}
			})
		}
	}
}
