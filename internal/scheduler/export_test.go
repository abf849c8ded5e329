package scheduler

// RecordCounts returns the number of replicas and of queues that records are kept of.
func (s *Scheduler) RecordCounts() (replicas, queues int) { return len(s.loads), len(s.decisions) }
