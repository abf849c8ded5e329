package screener

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// _processLinger is how long a process that is no longer listed still counts for the choice
// of senders. Other processes may learn of its end that much later.
const _processLinger = 6 * time.Second

// senders chooses, for each cold or limited upstream, the processes that may send requests to
// it: those with the highest hash of both names (rendezvous hashing). Processes that know slightly
// different lists of processes choose nearly the same ones.
type senders struct {
	// processes holds the names of the processes that count, sorted, and listedAt when each
	// was last listed.
	processes []string
	listedAt  map[string]time.Time
	// ranks holds the rank of this process for upstreams, by their id.
	ranks map[string]int
}

// SetProcesses sets the names of the running processes. Without any, this process sends no
// requests to cold or limited upstreams.
func (s *Screener) SetProcesses(names []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.senders.listedAt == nil {
		s.senders.listedAt = make(map[string]time.Time)
	}
	before, isNew := len(s.senders.listedAt), false
	for _, name := range names {
		if _, ok := s.senders.listedAt[name]; !ok {
			isNew = true
		}
		s.senders.listedAt[name] = now
	}
	maps.DeleteFunc(s.senders.listedAt, func(_ string, at time.Time) bool { return now.Sub(at) > _processLinger })
	if !isNew && len(s.senders.listedAt) == before {
		return
	}
	wasSender := s.sending(now)
	s.senders.processes, s.senders.ranks = slices.Sorted(maps.Keys(s.senders.listedAt)), nil
	s.delayNewSenders(wasSender, now)
}

func (s *senders) count() int { return len(s.processes) }

// include reports whether the process is one of count senders for an upstream.
func (s *senders) include(process, upstream string, count int) bool {
	return s.rank(process, upstream) < count
}

// rank returns how many processes come before the given one, which is always the same, as
// senders for an upstream; math.MaxInt if it is not listed.
func (s *senders) rank(process, upstream string) int {
	n, ok := s.ranks[upstream]
	if ok {
		return n
	}
	if s.ranks == nil {
		s.ranks = make(map[string]int)
	}
	n = countHigher(s.processes, process, upstream)
	s.ranks[upstream] = n
	return n
}

// countHigher returns how many processes have a higher hash than the given one; math.MaxInt
// if it is not listed.
func countHigher(processes []string, process, upstream string) int {
	if !slices.Contains(processes, process) {
		return math.MaxInt
	}
	own, higher := hash(process, upstream), 0
	for _, p := range processes {
		if p != process && hash(p, upstream) > own {
			higher++
		}
	}
	return higher
}

func hash(process, upstream string) uint64 {
	sum := sha256.Sum256([]byte(process + "\x00" + upstream))
	return binary.BigEndian.Uint64(sum[:])
}
