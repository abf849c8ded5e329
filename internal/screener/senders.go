package screener

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// _processLinger is how long a process that is no longer listed still counts for the choice
// of senders. Other processes may learn of its end that much later.
const _processLinger = 6 * time.Second

// senders chooses, for each cold upstream, the processes that may send requests to it: those
// with the highest hash of both names (rendezvous hashing). Processes that know slightly
// different lists of processes choose nearly the same ones.
type senders struct {
	// processes holds the names of the processes that count, sorted, and listedAt when each
	// was last listed.
	processes []string
	listedAt  map[string]time.Time
	// included holds for each upstream whether this process is one of its senders.
	included map[senderKey]bool
}

// senderKey identifies a choice: an upstream and the number of its senders.
type senderKey struct {
	upstream string
	count    int
}

// SetProcesses sets the names of the running processes. Without any, this process sends no
// requests to cold upstreams.
func (s *Screener) SetProcesses(names []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.senders.listedAt == nil {
		s.senders.listedAt = make(map[string]time.Time)
	}
	for _, name := range names {
		s.senders.listedAt[name] = now
	}
	maps.DeleteFunc(s.senders.listedAt, func(_ string, at time.Time) bool { return now.Sub(at) > _processLinger })
	processes := slices.Sorted(maps.Keys(s.senders.listedAt))
	if !slices.Equal(s.senders.processes, processes) {
		s.senders.processes, s.senders.included = processes, nil
	}
}

func (s *senders) count() int { return len(s.processes) }

// include reports whether the process is one of count senders for an upstream.
func (s *senders) include(process, upstream string, count int) bool {
	k := senderKey{upstream, count}
	is, ok := s.included[k]
	if ok {
		return is
	}
	if s.included == nil {
		s.included = make(map[senderKey]bool)
	}
	is = isAmongHighest(s.processes, process, upstream, count)
	s.included[k] = is
	return is
}

// isAmongHighest reports whether a process is listed and fewer than count others have a
// higher hash.
func isAmongHighest(processes []string, process, upstream string, count int) bool {
	if !slices.Contains(processes, process) {
		return false
	}
	own, higher := hash(process, upstream), 0
	for _, p := range processes {
		if p != process && hash(p, upstream) > own {
			higher++
		}
	}
	return higher < count
}

func hash(process, upstream string) uint64 {
	sum := sha256.Sum256([]byte(process + "\x00" + upstream))
	return binary.BigEndian.Uint64(sum[:])
}
