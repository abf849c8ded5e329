package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// record is a crash, and when this process first learned of it.
type record struct {
	Crash
	at time.Time
	// confirmedAt is when this process first knew that the upstream itself had ended; zero
	// if it does not.
	confirmedAt time.Time
	// startedMs is when the upstream had started, in Unix milliseconds; 0 if that is unknown
	// or the upstream was about to leave.
	startedMs int64
	// ownBroken counts the responses that broke off at this process, and ownAt is when it
	// last saw something of the crash itself; zero if it has not.
	ownBroken int
	ownAt     time.Time
	// brokenAt is when this process last learned that a response had broken off.
	brokenAt time.Time
}

// crashes are those that are known. The zero value is ready for use.
type crashes struct {
	records map[Life]*record
	// counts holds the number of records in which each part is a suspect.
	counts map[Part]int
}

// add adds what is known of a crash, and returns its record. What belongs to an earlier series
// of breaks than the record adds nothing.
func (k *crashes) add(life Life, c Crash, now time.Time) *record {
	if k.records == nil {
		k.records, k.counts = make(map[Life]*record), make(map[Part]int)
	}
	r := k.records[life]
	if r == nil {
		if len(k.records) >= _maxCrashes {
			k.delete(k.leastUseful())
		}
		r = &record{at: now}
		r.Suspects, r.Series = make(map[Part]bool), c.Series
		k.records[life] = r
	}
	switch {
	case c.Series < r.Series:
		return r
	case c.Series > r.Series:
		k.beginSeries(r, c.Series, now)
	}
	if c.Broken > 0 {
		r.brokenAt = now
	}
	r.Broken += c.Broken
	r.Ended, r.Survived = r.Ended || c.Ended, r.Survived || c.Survived
	if r.confirmedAt.IsZero() && r.isConfirmed() {
		r.confirmedAt = now
	}
	k.addSuspects(life, r, c.Suspects)
	return r
}

// beginSeries forgets the breaks that an upstream has survived.
func (k *crashes) beginSeries(r *record, series int, now time.Time) {
	for p := range r.Suspects {
		k.removeSuspect(r, p)
	}
	*r = record{at: now, Crash: Crash{Series: series, Suspects: r.Suspects}}
}

// addSuspects adds suspects to a crash, up to _maxSuspects. Those that are suspects in other
// crashes take the places of others. Which of the others are left out differs from crash to
// crash, so that a part that comes back is a suspect sooner or later.
func (k *crashes) addSuspects(life Life, r *record, suspects map[Part]bool) {
	var recurring, others []Part
	for p := range suspects {
		switch {
		case r.Suspects[p]:
		case k.counts[p] > 0:
			recurring = append(recurring, p)
		default:
			others = append(others, p)
		}
	}
	excess := len(r.Suspects) + len(recurring) - _maxSuspects
	for _, p := range life.order(k.singular(r.Suspects)) {
		if excess <= 0 {
			break
		}
		k.removeSuspect(r, p)
		excess--
	}
	for _, p := range append(life.order(recurring), life.order(others)...) {
		if len(r.Suspects) >= _maxSuspects {
			return
		}
		r.Suspects[p] = true
		k.counts[p]++
	}
}

// singular returns those suspects that are suspects in one crash only.
func (k *crashes) singular(suspects map[Part]bool) []Part {
	var out []Part
	for p := range suspects {
		if k.counts[p] == 1 {
			out = append(out, p)
		}
	}
	return out
}

// order sorts parts into an order that differs from life to life.
func (l Life) order(parts []Part) []Part {
	salt := NewPart(l.Upstream, strconv.FormatUint(l.Epoch, 10))
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a^salt, b^salt) })
	return parts
}

func (k *crashes) removeSuspect(r *record, p Part) {
	delete(r.Suspects, p)
	if k.counts[p]--; k.counts[p] == 0 {
		delete(k.counts, p)
	}
}

func (k *crashes) delete(life Life) {
	r := k.records[life]
	for p := range r.Suspects {
		k.removeSuspect(r, p)
	}
	delete(k.records, life)
}

// leastUseful returns the oldest of the crashes that are not confirmed, or else the oldest.
func (k *crashes) leastUseful() Life {
	return slices.MinFunc(slices.Collect(maps.Keys(k.records)), func(a, b Life) int {
		x, y := k.records[a], k.records[b]
		if x.isConfirmed() != y.isConfirmed() {
			if y.isConfirmed() {
				return -1
			}
			return 1
		}
		return x.at.Compare(y.at)
	})
}

// forget removes the crashes that are too old.
func (k *crashes) forget(now time.Time) {
	for life, r := range k.records {
		if now.Sub(r.at) >= _memoryTime {
			k.delete(life)
		}
	}
}
