package quarantiner

import (
	"math/bits"
	"time"
)

// crashSet is a set of crashes, by their number in one look at all of them.
type crashSet [(_maxCrashes + 63) / 64]uint64

func (s *crashSet) add(n int) { s[n/64] |= 1 << (n % 64) }

func (s *crashSet) len() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// isIn reports whether all crashes of the set are in the other one.
func (s *crashSet) isIn(other *crashSet) bool {
	for i, word := range s {
		if word&^other[i] != 0 {
			return false
		}
	}
	return true
}

// suspicion holds the confirmed crashes in which a part is a suspect: all, and those that
// have been known for _clearanceDelay.
type suspicion struct{ confirmed, settled crashSet }

// suspicions returns that of each suspect.
func (q *Quarantiner) suspicions(now time.Time) map[Part]*suspicion {
	out := make(map[Part]*suspicion)
	n := 0
	for _, r := range q.known {
		if !r.isConfirmed() {
			continue
		}
		for p := range r.Suspects {
			x := out[p]
			if x == nil {
				x = &suspicion{}
				out[p] = x
			}
			x.confirmed.add(n)
			if now.Sub(r.at) >= _clearanceDelay {
				x.settled.add(n)
			}
		}
		n++
	}
	return out
}

// convictions returns the combinations of parts that the evidence is sufficient for.
//
// Each part that was a suspect in enough crashes is one of a combination, with all others
// that were suspects in the same crashes. Any of those may be the one that upstreams crash
// under, and the others may be in sound prompts too.
func (q *Quarantiner) convictions(now time.Time) map[Combination]bool {
	candidates := q.suspicions(now)
	for p, x := range candidates {
		if x.settled.len() < _crashesUntilQuarantine || q.isCleared(p) {
			delete(candidates, p)
		}
	}
	out := make(map[Combination]bool)
	for p, x := range candidates {
		parts := []Part{p}
		for other, y := range candidates {
			if other != p && x.confirmed.isIn(&y.confirmed) && len(parts) < _maxCombination {
				parts = append(parts, other)
			}
		}
		c := NewCombination(parts...)
		if len(parts) > 1 && q.isTooNarrow(c, p, now) {
			c = NewCombination(p)
		}
		out[c] = true
	}
	return out
}

// isTooNarrow reports whether upstreams went on to crash with p as a suspect after prompts
// with the whole combination were no longer sent. A part that only waited beside the others
// by chance may be in it.
func (q *Quarantiner) isTooNarrow(c Combination, p Part, now time.Time) bool {
	if _, alone := q.quarantines.byCombination[NewCombination(p)]; alone {
		return true
	}
	x, ok := q.quarantines.byCombination[c]
	if !ok {
		return false
	}
	n := 0
	for _, r := range q.known {
		if r.isConfirmed() && r.Suspects[p] && now.Sub(r.at) >= _clearanceDelay && r.at.Sub(x.since) >= _clearanceDelay {
			n++
		}
	}
	return n >= _crashesUntilTooNarrow
}
