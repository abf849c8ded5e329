// Package prioritiser divides what can be served among requests of different priorities. It
// answers the load in which callers of several priorities compete for too few slots of one
// model: the most urgent are admitted first, and each other priority keeps a part, so that
// none is shut out.
package prioritiser

// Priorities is the number of priorities; 0 is the most urgent.
const Priorities = 10

// _floorShare is the part of what a priority would get without priorities that it keeps
// while more urgent ones take the rest.
const _floorShare = 0.5

// Class returns the priority that requests of the given priority belong to, from 0 to
// Priorities-1.
func Class(priority int) int { return min(max(priority, 0), Priorities-1) }

// Demand is the work that callers ask for by priority, in slots: requests per second times
// their duration. The zero value says that it is not known.
type Demand [Priorities]float64

// Add returns the sum of two demands.
func (d Demand) Add(other Demand) Demand {
	for p := range d {
		d[p] += other[p]
	}
	return d
}

// Fraction returns the fraction of the requests of a priority to admit, where the given
// fraction of the work of all can be served.
func (d Demand) Fraction(served float64, priority int) float64 {
	total := 0.0
	for _, work := range d {
		total += work
	}
	if total <= 0 || served >= 1 {
		return served
	}
	floor := _floorShare * served
	rest := (served - floor) * total
	for p, work := range d {
		wanted := (1 - floor) * work
		if p != Class(priority) {
			rest = max(rest-wanted, 0)
			continue
		}
		if wanted > rest {
			return floor + rest/work
		}
		return 1
	}
	return served
}

// HasMoreUrgent reports whether callers ask for work of a higher priority than the given one.
func (d Demand) HasMoreUrgent(priority int) bool {
	for _, work := range d[:Class(priority)] {
		if work > 0 {
			return true
		}
	}
	return false
}
