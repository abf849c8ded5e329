package queuer

import (
	"cmp"
	"slices"
	"time"
)

// AgingLimit is how long short work may overtake a long request.
const AgingLimit = 5 * time.Second

// Item is a waiting request.
type Item struct {
	// ID grows from one Push to the next.
	ID           uint64
	Organisation string
	Weight       int // 0 means 1
	Long         bool
	// Class tells requests apart that not every replica can serve alike; where
	// one doesn't fit, the later ones of its class, organisation and length don't
	// fit either.
	Class string
	// Cost is the predicted work in tokens.
	Cost    int
	Arrived time.Time
}

// lane holds the requests that fit or don't fit together.
type lane struct {
	organisation string
	class        string
	long         bool
}

// Queuer holds waiting requests. The zero value is an empty queue. It is not
// safe for concurrent use.
type Queuer struct {
	lanes map[lane][]Item // in the order of arrival; none is empty
	size  int
	// waits counts each organisation's requests and their cost.
	waits map[string]demand
	// served is each organisation's work so far, divided by its weight.
	served map[string]float64
	// floor is the share of the organisation served last; one that was idle
	// starts there, so that idle time earns no claim.
	floor float64
}

// demand is what an organisation waits for.
type demand struct {
	requests, weight int
}

// Len returns the number of waiting requests.
func (q *Queuer) Len() int { return q.size }

// Push adds a request.
func (q *Queuer) Push(i Item) {
	if q.served == nil {
		q.lanes = make(map[lane][]Item)
		q.waits = make(map[string]demand)
		q.served = make(map[string]float64)
	}
	d := q.waits[i.Organisation]
	if d.requests == 0 {
		q.served[i.Organisation] = max(q.served[i.Organisation], q.floor)
	}
	q.waits[i.Organisation] = demand{requests: d.requests + 1, weight: max(1, i.Weight)}
	k := laneOf(i)
	q.lanes[k] = append(q.lanes[k], i)
	q.size++
}

// Remove takes a request out without serving it; one that is not there is
// ignored.
func (q *Queuer) Remove(i Item) {
	k := laneOf(i)
	at, ok := slices.BinarySearchFunc(q.lanes[k], i.ID, func(x Item, id uint64) int { return cmp.Compare(x.ID, id) })
	if !ok {
		return
	}
	q.lanes[k] = slices.Delete(q.lanes[k], at, at+1)
	if len(q.lanes[k]) == 0 {
		delete(q.lanes, k)
	}
	d := q.waits[i.Organisation]
	d.requests--
	q.waits[i.Organisation] = d
	if d.requests == 0 {
		delete(q.waits, i.Organisation)
	}
	q.size--
}

// Next takes out the first request, in the order of the queue, that fits. It
// returns false where none does. fits is asked once for each organisation,
// class and length.
func (q *Queuer) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	for _, i := range q.heads(now) {
		if !fits(i) {
			continue
		}
		q.Remove(i)
		q.floor = q.served[i.Organisation]
		q.Charge(i.Organisation, i.Weight, max(1, i.Cost))
		return i, true
	}
	return Item{}, false
}

// Charge adds work to an organisation's share; below 0 it gives work back that
// was charged and not done.
func (q *Queuer) Charge(organisation string, weight, tokens int) {
	q.served[organisation] += float64(tokens) / float64(max(1, weight))
}

// heads returns the first request of each lane in the order of the queue.
func (q *Queuer) heads(now time.Time) []Item {
	out := make([]Item, 0, len(q.lanes))
	for _, items := range q.lanes {
		out = append(out, items[0])
	}
	slices.SortFunc(out, func(a, b Item) int { return q.compare(a, b, now) })
	return out
}

func (q *Queuer) compare(a, b Item, now time.Time) int {
	if a.Organisation != b.Organisation && q.served[a.Organisation] != q.served[b.Organisation] {
		return cmp.Compare(q.served[a.Organisation], q.served[b.Organisation])
	}
	if x, y := overtaken(a, now), overtaken(b, now); x != y {
		if y {
			return -1
		}
		return 1
	}
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// overtaken says that short work goes before i.
func overtaken(i Item, now time.Time) bool {
	return i.Long && now.Sub(i.Arrived) < AgingLimit
}

func laneOf(i Item) lane {
	return lane{organisation: i.Organisation, class: i.Class, long: i.Long}
}
