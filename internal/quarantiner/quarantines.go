package quarantiner

import (
	"maps"
	"time"
)

// quarantine is when prompts began to be refused for a combination of parts, and until when
// they are.
type quarantine struct{ since, until time.Time }

// quarantines are those that are known. The zero value is ready for use.
type quarantines struct {
	byCombination map[Combination]quarantine
	// byPart holds the combinations by their first part.
	byPart map[Part][]Combination
}

// add adds a quarantine or extends it, and reports whether it is new. It adds none that
// another one, of fewer parts, makes needless, and removes those that it makes needless.
func (q *quarantines) add(c Combination, until, now time.Time) bool {
	for known, x := range q.byCombination {
		if known != c && known.isWithin(c) && until.Sub(x.until) <= _extensionMargin {
			return false
		}
	}
	x, known := q.byCombination[c]
	if !known {
		x.since = now
		maps.DeleteFunc(q.byCombination, func(other Combination, x quarantine) bool {
			return c.isWithin(other) && !x.until.After(until)
		})
	}
	if len(q.byCombination) >= _maxQuarantines && !known {
		q.deleteEarliest()
	}
	if q.byCombination == nil {
		q.byCombination = make(map[Combination]quarantine)
	}
	if until.After(x.until) {
		x.until = until
	}
	q.byCombination[c] = x
	if !known {
		q.index()
	}
	return !known
}

func (q *quarantines) has(c Combination) bool {
	_, ok := q.byCombination[c]
	return ok
}

// forget removes the quarantines that have ended.
func (q *quarantines) forget(now time.Time) {
	before := len(q.byCombination)
	maps.DeleteFunc(q.byCombination, func(_ Combination, x quarantine) bool { return !now.Before(x.until) })
	if len(q.byCombination) != before {
		q.index()
	}
}

// deleteEarliest removes the quarantine that ends first.
func (q *quarantines) deleteEarliest() {
	var earliest Combination
	for c, x := range q.byCombination {
		if earliest == "" || x.until.Before(q.byCombination[earliest].until) {
			earliest = c
		}
	}
	delete(q.byCombination, earliest)
}

func (q *quarantines) index() {
	q.byPart = make(map[Part][]Combination, len(q.byCombination))
	for c := range q.byCombination {
		first := c.Parts()[0]
		q.byPart[first] = append(q.byPart[first], c)
	}
}

// find returns a combination that the given parts include and its quarantine.
func (q *quarantines) find(parts []Part, now time.Time) (Combination, quarantine) {
	for _, p := range parts {
		for _, c := range q.byPart[p] {
			if x := q.byCombination[c]; x.until.After(now) && c.isIn(parts) {
				return c, x
			}
		}
	}
	return "", quarantine{}
}
