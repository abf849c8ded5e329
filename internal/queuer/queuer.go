package queuer

import (
	"cmp"
	"slices"
	"time"
)

// AgingLimit is how long short work may overtake a long request.
const AgingLimit = 5 * time.Second

// _credit is the work, in tokens for a weight of 1, that an idle organisation is
// behind the others at most when it comes back.
const _credit = 1024

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
	// waits counts each organisation's requests.
	waits map[string]demand
	// served is the work of each account so far, divided by the weight.
	served map[account]float64
	// floor is the share of the account served last, of short and of long work;
	// one that was idle starts there but for its credit.
	floor map[bool]float64
}

// account is an organisation's short or long work. They are apart, so that one
// long answer doesn't use up the organisation's turns for short ones.
type account struct {
	organisation string
	long         bool
}

// demand is what an organisation waits for.
type demand struct {
	requests, weight int
}

// Len returns the number of waiting requests.
func (q *Queuer) Len() int { return q.size }

// CountByLength returns how many short and how many long requests wait.
func (q *Queuer) CountByLength() [2]int {
	var out [2]int
	for k, items := range q.lanes {
		if k.long {
			out[1] += len(items)
		} else {
			out[0] += len(items)
		}
	}
	return out
}

// Push adds a request.
func (q *Queuer) Push(i Item) {
	if q.served == nil {
		q.lanes = make(map[lane][]Item)
		q.waits = make(map[string]demand)
		q.served = make(map[account]float64)
		q.floor = make(map[bool]float64)
	}
	d := q.waits[i.Organisation]
	a := accountOf(i)
	q.served[a] = q.start(a)
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
		q.floor[i.Long] = q.served[accountOf(i)]
		q.Charge(i, max(1, i.Cost))
		return i, true
	}
	return Item{}, false
}

// CountAhead returns how many requests of the item's length get a place before it, if
// the organisations go on taking turns by weight and all cost the same.
func (q *Queuer) CountAhead(i Item) int {
	waits := make(map[string]int)
	for k, items := range q.lanes {
		if k.long == i.Long {
			waits[k.organisation] += len(items)
		}
	}
	cost := float64(max(1, i.Cost))
	ahead := waits[i.Organisation]
	turn := q.start(accountOf(i)) + float64(ahead+1)*cost/float64(max(1, i.Weight))
	for name, n := range waits {
		if name == i.Organisation {
			continue
		}
		lead := turn - q.served[account{organisation: name, long: i.Long}]
		ahead += min(n, int(max(0, lead*float64(q.waits[name].weight)/cost)))
	}
	return ahead
}

// start returns the share that an account has when its next request comes. One
// that was idle keeps a claim of at most _credit, which evens out requests that
// come in small clusters.
func (q *Queuer) start(a account) float64 {
	if q.waiting(a) {
		return q.served[a]
	}
	return max(q.served[a], q.floor[a.long]-_credit)
}

// Charge adds work, in tokens, to the account of an item; below 0 it gives work
// back that was charged and not done.
func (q *Queuer) Charge(i Item, tokens int) {
	q.served[accountOf(i)] += float64(tokens) / float64(max(1, i.Weight))
}

// waiting says whether a request of the account waits.
func (q *Queuer) waiting(a account) bool {
	for k := range q.lanes {
		if k.organisation == a.organisation && k.long == a.long {
			return true
		}
	}
	return false
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
	if x, y := rank(a, now), rank(b, now); x != y {
		return cmp.Compare(x, y)
	}
	if x, y := q.served[accountOf(a)], q.served[accountOf(b)]; x != y && a.Organisation != b.Organisation {
		return cmp.Compare(x, y)
	}
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// rank puts short work before long work, and long work that has waited too long
// before both. Long work is capped, so it can't keep short work out.
func rank(i Item, now time.Time) int {
	switch {
	case !i.Long:
		return 1
	case now.Sub(i.Arrived) < AgingLimit:
		return 2
	default:
		return 0
	}
}

func accountOf(i Item) account { return account{organisation: i.Organisation, long: i.Long} }

func laneOf(i Item) lane {
	return lane{organisation: i.Organisation, class: i.Class, long: i.Long}
}
