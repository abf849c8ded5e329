package queuer

import (
	"cmp"
	"slices"
	"time"
)

// AgingLimit is how long short requests may overtake a long one.
const AgingLimit = 5 * time.Second

// _maxCredit is the largest lead, in tokens for a weight of 1, that a flow gets
// over the flow served last when it returns from being idle.
const _maxCredit = 1024

// Item is a waiting request.
type Item struct {
	// ID is unique and increases from one Push to the next.
	ID           uint64
	Organisation string
	Weight       int // 0 means 1
	Long         bool
	// Class separates requests that can be served by different sets of replicas.
	// If a request finds no slot, later ones of the same class, organisation and
	// length find none either.
	Class string
	// Cost is the predicted length of the response in tokens.
	Cost    int
	Arrived time.Time
}

// queueKey identifies a queue of interchangeable requests: if the first finds no
// slot, the later ones find none either.
type queueKey struct {
	organisation string
	class        string
	long         bool
}

// Queuer holds waiting requests. The zero value is an empty queue. It is not
// safe for concurrent use.
type Queuer struct {
	queues map[queueKey][]Item // in the order of ID; none is empty
	size   int
	// backlogs holds the backlog of each organisation with waiting requests.
	backlogs map[string]backlog
	// service is the number of tokens charged to each flow, divided by its
	// weight.
	service map[flow]float64
	// lastService is the service of the flow served last, of short (false) and
	// long (true) requests. A flow that was idle starts at most _maxCredit below
	// it.
	lastService map[bool]float64
}

// flow is the short or the long requests of an organisation. They are charged
// separately, so that a long response does not delay the short requests of the
// organisation.
type flow struct {
	organisation string
	long         bool
}

// backlog is the number of waiting requests of an organisation, and its weight.
type backlog struct {
	requests, weight int
}

// Len returns the number of waiting requests.
func (q *Queuer) Len() int { return q.size }

// CountByLength returns the number of waiting short requests (index 0) and long
// ones (index 1).
func (q *Queuer) CountByLength() [2]int {
	var out [2]int
	for k, items := range q.queues {
		if k.long {
			out[1] += len(items)
		} else {
			out[0] += len(items)
		}
	}
	return out
}

// Push adds a request to the queue.
func (q *Queuer) Push(i Item) {
	if q.service == nil {
		q.queues = make(map[queueKey][]Item)
		q.backlogs = make(map[string]backlog)
		q.service = make(map[flow]float64)
		q.lastService = make(map[bool]float64)
	}
	b := q.backlogs[i.Organisation]
	f := flowOf(i)
	q.service[f] = q.startService(f)
	q.backlogs[i.Organisation] = backlog{requests: b.requests + 1, weight: max(1, i.Weight)}
	k := queueKeyOf(i)
	q.queues[k] = append(q.queues[k], i)
	q.size++
}

// Remove takes a request out of the queue without charging it; one that is not in
// the queue is ignored.
func (q *Queuer) Remove(i Item) {
	k := queueKeyOf(i)
	at, ok := slices.BinarySearchFunc(q.queues[k], i.ID, func(x Item, id uint64) int { return cmp.Compare(x.ID, id) })
	if !ok {
		return
	}
	q.queues[k] = slices.Delete(q.queues[k], at, at+1)
	if len(q.queues[k]) == 0 {
		delete(q.queues, k)
	}
	b := q.backlogs[i.Organisation]
	b.requests--
	q.backlogs[i.Organisation] = b
	if b.requests == 0 {
		delete(q.backlogs, i.Organisation)
	}
	q.size--
}

// Next takes out the first request, in queue order, for which fits returns true,
// and charges its cost. It returns false if there is none. fits is called at most
// once for each organisation, class and length.
func (q *Queuer) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	for _, i := range q.heads(now) {
		if !fits(i) {
			continue
		}
		q.Remove(i)
		q.lastService[i.Long] = q.service[flowOf(i)]
		q.Charge(i, max(1, i.Cost))
		return i, true
	}
	return Item{}, false
}

// CountAhead returns how many requests of the same length get a slot before the
// item, if organisations are served by weight and all requests have the same
// cost.
func (q *Queuer) CountAhead(i Item) int {
	counts := make(map[string]int)
	for k, items := range q.queues {
		if k.long == i.Long {
			counts[k.organisation] += len(items)
		}
	}
	cost := float64(max(1, i.Cost))
	ahead := counts[i.Organisation]
	finish := q.startService(flowOf(i)) + float64(ahead+1)*cost/float64(max(1, i.Weight))
	for name, n := range counts {
		if name == i.Organisation {
			continue
		}
		lead := finish - q.service[flow{organisation: name, long: i.Long}]
		ahead += min(n, int(max(0, lead*float64(q.backlogs[name].weight)/cost)))
	}
	return ahead
}

// startService returns the service of a flow when its next request arrives. A
// flow that was idle keeps a credit of at most _maxCredit, which evens out
// requests that arrive in bursts.
func (q *Queuer) startService(f flow) float64 {
	if q.isBacklogged(f) {
		return q.service[f]
	}
	return max(q.service[f], q.lastService[f.long]-_maxCredit)
}

// Charge adds tokens to the service of the flow of an item; a negative number
// refunds tokens that were charged but not generated.
func (q *Queuer) Charge(i Item, tokens int) {
	q.service[flowOf(i)] += float64(tokens) / float64(max(1, i.Weight))
}

// isBacklogged reports whether a request of the flow is waiting.
func (q *Queuer) isBacklogged(f flow) bool {
	for k := range q.queues {
		if k.organisation == f.organisation && k.long == f.long {
			return true
		}
	}
	return false
}

// heads returns the first request of each queue, in queue order.
func (q *Queuer) heads(now time.Time) []Item {
	out := make([]Item, 0, len(q.queues))
	for _, items := range q.queues {
		out = append(out, items[0])
	}
	slices.SortFunc(out, func(a, b Item) int { return q.compare(a, b, now) })
	return out
}

// compare orders two requests by rank, then by the service of their flows, then
// by arrival.
func (q *Queuer) compare(a, b Item, now time.Time) int {
	if x, y := rank(a, now), rank(b, now); x != y {
		return cmp.Compare(x, y)
	}
	if x, y := q.service[flowOf(a)], q.service[flowOf(b)]; x != y && a.Organisation != b.Organisation {
		return cmp.Compare(x, y)
	}
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// rank puts short requests before long ones, and long ones that have waited for
// AgingLimit before both. The router limits the slots of long requests, so they
// cannot keep short ones from being served.
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

func flowOf(i Item) flow { return flow{organisation: i.Organisation, long: i.Long} }

func queueKeyOf(i Item) queueKey {
	return queueKey{organisation: i.Organisation, class: i.Class, long: i.Long}
}
