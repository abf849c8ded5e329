package quarantiner

import (
	"math/bits"
	"slices"
	"time"
)

// crashSet is a set of crashes, by their number in one look at all of them.
type crashSet [(_maxCrashes + 63) / 64]uint64

func (s *crashSet) add(n int) { s[n/64] |= 1 << (n % 64) }

func (s *crashSet) has(n int) bool { return s[n/64]&(1<<(n%64)) != 0 }

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
// have been confirmed for _clearanceDelay.
type suspicion struct{ confirmed, aged crashSet }

// suspicions returns that of each suspect of several crashes, and the confirmed crashes by
// their numbers.
func (q *Quarantiner) suspicions(now time.Time) (map[Part]*suspicion, []*record) {
	out := make(map[Part]*suspicion)
	var confirmed []*record
	for _, r := range q.known.records {
		if !r.isConfirmed() {
			continue
		}
		n := len(confirmed)
		confirmed = append(confirmed, r)
		for p := range r.Suspects {
			if q.known.counts[p] == 1 {
				continue
			}
			x := out[p]
			if x == nil {
				x = &suspicion{}
				out[p] = x
			}
			x.confirmed.add(n)
			if now.Sub(r.confirmedAt) >= _clearanceDelay {
				x.aged.add(n)
			}
		}
	}
	return out, confirmed
}

// convictions returns the combinations of parts that the evidence is sufficient for, and for how
// long each is quarantined.
//
// Each part that was a suspect in enough crashes is one of a combination, with all others
// that were suspects in the same crashes. Any of those may be the one that upstreams crash
// under, and the others may be in sound prompts too.
func (q *Quarantiner) convictions(now time.Time) map[Combination]time.Duration {
	out := q.provisionalConvictions(now)
	suspicions, confirmed := q.suspicions(now)
	candidates := make(map[crashSet][]Part)
	for p, x := range suspicions {
		if x.aged.len() >= _crashesUntilQuarantine && !q.isCleared(p) {
			candidates[x.confirmed] = append(candidates[x.confirmed], p)
		}
	}
	for set, parts := range candidates {
		c := combinationOf(candidates, set)
		isTooNarrow := q.isTooNarrow(c, set, confirmed, now)
		for _, p := range parts {
			if alone := NewCombination(p); isTooNarrow || q.quarantines.has(alone) {
				out[alone] = _quarantineTime
			} else {
				out[c] = _quarantineTime
			}
		}
	}
	return out
}

// provisionalConvictions returns the combinations of parts under which responses broke off at
// enough moments, whether crashes are confirmed or not.
func (q *Quarantiner) provisionalConvictions(now time.Time) map[Combination]time.Duration {
	recent := q.known.recentBreaks(now)
	sets := make(map[Part]*crashSet)
	for n, r := range recent {
		for p := range r.Suspects {
			if q.known.counts[p] < _breaksUntilQuarantine || q.isCleared(p) {
				continue
			}
			if sets[p] == nil {
				sets[p] = &crashSet{}
			}
			sets[p].add(n)
		}
	}
	candidates := make(map[crashSet][]Part)
	for p, set := range sets {
		if countMoments(recent, set) >= _breaksUntilQuarantine {
			candidates[*set] = append(candidates[*set], p)
		}
	}
	out := make(map[Combination]time.Duration)
	for set := range candidates {
		out[combinationOf(candidates, set)] = _provisionalTime
	}
	return out
}

// recentBreaks returns the crashes, confirmed or not, that count for a provisional quarantine, in
// the order in which this process learned of them.
func (k *crashes) recentBreaks(now time.Time) []*record {
	var out []*record
	for _, r := range k.records {
		if age := now.Sub(r.at); !r.Survived && age >= _clearanceDelay && age < _breakMemory {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int { return a.at.Compare(b.at) })
	return out
}

// countMoments returns the number of moments, _breakSpacing or more apart, at which the crashes of
// a set became known. breaks holds all crashes by their numbers, in the order of time.
func countMoments(breaks []*record, set *crashSet) int {
	count, last := 0, time.Time{}
	for n, r := range breaks {
		if set.has(n) && (count == 0 || r.at.Sub(last) >= _breakSpacing) {
			count++
			last = r.at
		}
	}
	return count
}

// combinationOf returns the combination of the candidates that were suspects in all crashes
// of a set.
func combinationOf(candidates map[crashSet][]Part, set crashSet) Combination {
	var parts []Part
	for other, more := range candidates {
		if set.isIn(&other) {
			parts = append(parts, more...)
		}
	}
	c := NewCombination(parts...)
	return c[:min(len(c), _maxCombination*_partBytes)]
}

// isTooNarrow reports whether upstreams went on to crash, with the combination as suspects,
// after prompts with all of it were no longer sent. One of the parts may only have waited
// beside the others by chance.
func (q *Quarantiner) isTooNarrow(c Combination, set crashSet, confirmed []*record, now time.Time) bool {
	x, ok := q.quarantines.byCombination[c]
	if !ok || len(c) == _partBytes {
		return false
	}
	n := 0
	for i, r := range confirmed {
		if set.has(i) && now.Sub(r.confirmedAt) >= _clearanceDelay && r.at.Sub(x.since) >= _clearanceDelay {
			n++
		}
	}
	return n >= _crashesUntilTooNarrow
}
