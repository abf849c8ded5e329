package budgeter

import "time"

// Share divides a slack among the processes that share it. After their number has fallen, it
// still divides by the larger number for a window, since the processes that have left may
// have used their parts. One more part is kept for a process that starts, which the others
// count some seconds late. Set Window before use.
type Share struct {
	Window time.Duration

	counts []countedAt
}

// countedAt is a number of processes and when it was last the current one.
type countedAt struct {
	count int
	at    time.Time
}

// Of returns this process's part of a total slack, where count processes share it now. Later
// calls must not have an earlier time.
func (s *Share) Of(total float64, count int, now time.Time) float64 {
	// Smaller counts before this one decide nothing any more.
	for len(s.counts) > 0 && s.counts[len(s.counts)-1].count <= count {
		s.counts = s.counts[:len(s.counts)-1]
	}
	s.counts = append(s.counts, countedAt{count: count, at: now})
	for now.Sub(s.counts[0].at) > s.Window+s.Window*_lateSlices/_slicesPerWindow {
		s.counts = s.counts[1:]
	}
	return total / float64(max(s.counts[0].count, 1)+1)
}
