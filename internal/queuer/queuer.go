package queuer

import (
	"slices"
	"time"
)

// AgingLimit is how long short work may overtake a long request.
const AgingLimit = 5 * time.Second

// Item is a waiting request.
type Item struct {
	ID           uint64
	Organisation string
	Weight       int
	Long         bool
	// Cost is the predicted work in tokens.
	Cost    int
	Arrived time.Time
}

// Queuer holds waiting requests. The zero value is an empty queue. It is not
// safe for concurrent use.
type Queuer struct {
	items []Item
	// served is each organisation's work so far, divided by its weight.
	served map[string]float64
	// floor is the share of the organisation served last; one that was idle
	// starts there, so that idle time earns no claim.
	floor float64
}

// Len returns the number of waiting requests.
func (q *Queuer) Len() int { return len(q.items) }

// Push adds a request.
func (q *Queuer) Push(i Item) {
	if q.served == nil {
		q.served = make(map[string]float64)
	}
	if !q.waits(i.Organisation) {
		q.served[i.Organisation] = max(q.served[i.Organisation], q.floor)
	}
	q.items = append(q.items, i)
}

// Remove takes a request out without serving it.
func (q *Queuer) Remove(id uint64) {
	q.items = slices.DeleteFunc(q.items, func(i Item) bool { return i.ID == id })
}

// Next takes out the first request, in the order of the queue, that fits. It
// returns false where none does.
func (q *Queuer) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	order := slices.Clone(q.items)
	slices.SortStableFunc(order, func(a, b Item) int { return q.compare(a, b, now) })
	for _, i := range order {
		if !fits(i) {
			continue
		}
		q.Remove(i.ID)
		q.floor = q.served[i.Organisation]
		q.served[i.Organisation] += float64(max(1, i.Cost)) / float64(max(1, i.Weight))
		return i, true
	}
	return Item{}, false
}

func (q *Queuer) waits(organisation string) bool {
	return slices.ContainsFunc(q.items, func(i Item) bool { return i.Organisation == organisation })
}

func (q *Queuer) compare(a, b Item, now time.Time) int {
	if a.Organisation != b.Organisation && q.served[a.Organisation] != q.served[b.Organisation] {
		if q.served[a.Organisation] < q.served[b.Organisation] {
			return -1
		}
		return 1
	}
	if x, y := overtaken(a, now), overtaken(b, now); x != y {
		if y {
			return -1
		}
		return 1
	}
	return a.Arrived.Compare(b.Arrived)
}

// overtaken says that short work goes before i.
func overtaken(i Item, now time.Time) bool {
	return i.Long && now.Sub(i.Arrived) < AgingLimit
}
