package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/estimator"
	"github.com/lycheebarrow/lycheebarrow/internal/queuer"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// CandidateFunc returns the replicas that may serve a model to an organisation.
// The scheduler fills in the local load.
type CandidateFunc func(model, organisation string) []router.Candidate

// _pruneInterval is the time between two removals of records that are no longer needed.
const _pruneInterval = 10 * time.Second

// _contentionPeriod is how long an entry takes only its share of the free slots
// after a pass that left a request waiting.
const _contentionPeriod = time.Second

// Scheduler holds the waiting requests and counts the assigned slots. The zero
// value refuses each request in the next pass; set the fields before use. It is
// not safe for concurrent use.
type Scheduler struct {
	// Router chooses replicas.
	Router router.Router
	// Estimator predicts the length of responses.
	Estimator estimator.Estimator
	// QueueLimit is the largest number of waiting requests; 0 means no limit.
	QueueLimit int
	// ShortWait and LongWait are how long a short or long request without a
	// deadline may wait.
	ShortWait, LongWait time.Duration

	queue   queuer.Queuer
	waiting map[uint64]*waitingRequest
	slots   map[uint64]*heldSlot
	lastID  uint64
	loads   map[router.Key]*replicaLoad
	// contendedAt is when a pass last left a request without a slot.
	contendedAt time.Time
	throughputs [2]throughput // of short and of long requests
	// decisions holds the last decision for each queue. Queues for a single
	// request, which end with it, are left out.
	decisions map[queueKey]router.Decision
	// prunedAt is when records were last removed.
	prunedAt time.Time
}

// waitingRequest is a request in the queue.
type waitingRequest struct {
	request  Request
	item     queuer.Item
	decision router.Decision
}

// heldSlot is a slot assigned to a request.
type heldSlot struct {
	request Request
	replica router.Key
	item    queuer.Item
	// long starts as item.Long and becomes true when the response reaches
	// Estimator.LongTokens.
	long bool
}

// Len returns the number of waiting requests.
func (s *Scheduler) Len() int { return s.queue.Len() }

// Add queues a request and returns its number, or a RefusedError if the request
// is refused at once.
func (s *Scheduler) Add(q Request, now time.Time) (uint64, error) {
	if s.waiting == nil {
		s.waiting = make(map[uint64]*waitingRequest)
		s.slots = make(map[uint64]*heldSlot)
		s.loads = make(map[router.Key]*replicaLoad)
		s.decisions = make(map[queueKey]router.Decision)
	}
	s.lastID++
	w := s.newWaitingRequest(q, now)
	if s.QueueLimit > 0 && s.queue.Len() >= s.QueueLimit {
		return 0, s.newRefusedError(ErrQueueFull, w, now)
	}
	// A request that already held a slot is never refused because of a forecast.
	if limit := w.request.Deadline.Sub(now).Seconds(); !q.Requeued && s.forecastWait(w, now).Seconds() > _maxForecastShare*limit {
		return 0, s.newRefusedError(ErrOverloaded, w, now)
	}
	s.waiting[s.lastID] = w
	s.queue.Push(w.item)
	return s.lastID, nil
}

// newWaitingRequest sets the defaults of a request and builds its queue item.
func (s *Scheduler) newWaitingRequest(q Request, now time.Time) *waitingRequest {
	if q.Arrived.IsZero() {
		q.Arrived = now
	}
	e := s.Estimator.Predict(kindOf(q))
	long := e.Long || s.isLong(q.TokensDelivered)
	if q.Deadline.IsZero() {
		q.Deadline = q.Arrived.Add(s.ShortWait)
		if long {
			q.Deadline = q.Arrived.Add(s.LongWait)
		}
	}
	item := queuer.Item{
		ID: s.lastID, Organisation: q.Organisation, Weight: q.Weight, Long: long, Class: q.Model,
		Cost: max(1, e.Tokens-q.TokensDelivered), Arrived: q.Arrived,
	}
	if len(q.Tried) > 0 || q.Requeued {
		// The request gets a queue of its own: the replicas that it tried are
		// closed to it but not to others, and it precedes requests that arrived
		// later.
		item.Class += "#" + strconv.FormatUint(s.lastID, 10)
	}
	return &waitingRequest{request: q, item: item}
}

// kindOf returns the kind of response that the estimator predicts for the
// request.
func kindOf(q Request) estimator.Kind {
	return estimator.Kind{Organisation: q.Organisation, Model: q.Model, MaxTokens: q.MaxTokens}
}

// isLong reports whether a response of that many tokens is long.
func (s *Scheduler) isLong(tokens int) bool {
	return s.Estimator.LongTokens > 0 && tokens >= s.Estimator.LongTokens
}

// Cancel removes a request from the queue; an unknown id is ignored.
func (s *Scheduler) Cancel(id uint64) {
	if w, ok := s.waiting[id]; ok {
		s.queue.Remove(w.item)
		delete(s.waiting, id)
	}
}

// ReportTokens records how many tokens of a response have been generated. A
// response predicted to be short counts as long once it reaches
// Estimator.LongTokens.
func (s *Scheduler) ReportTokens(id uint64, tokens int) {
	h, ok := s.slots[id]
	if !ok || h.long || !s.isLong(tokens) {
		return
	}
	h.long = true
	s.loads[h.replica].long++
}

// Release releases a slot. tokens is the length of the complete response, or 0 if
// the response is incomplete.
func (s *Scheduler) Release(id uint64, tokens int, now time.Time) {
	h, ok := s.slots[id]
	if !ok {
		return
	}
	delete(s.slots, id)
	s.changeLoad(h.replica, h.long, -1, now)
	if tokens > 0 {
		s.Estimator.Observe(kindOf(h.request), tokens)
		s.queue.Charge(h.item, tokens-h.request.TokensDelivered-h.item.Cost)
	}
}

// ReleaseRefused releases a slot in a replica that refused the request as full
// and did not run it. The replica gets no requests until it reports its load
// again or _refusalBackoff has passed.
func (s *Scheduler) ReleaseRefused(id uint64, now time.Time) {
	h, ok := s.slots[id]
	if !ok {
		return
	}
	delete(s.slots, id)
	s.changeLoad(h.replica, h.long, -1, now)
	s.loads[h.replica].refused = now
	s.queue.Charge(h.item, -h.item.Cost)
}

// Schedule runs one scheduling pass: it refuses the requests whose deadline has
// passed and assigns free slots to waiting ones.
func (s *Scheduler) Schedule(now time.Time, listCandidates CandidateFunc) []Outcome {
	out := s.expireRequests(now)
	s.prune(now)
	cache := &candidateCache{scheduler: s, listCandidates: listCandidates, now: now, candidates: make(map[candidateKey][]router.Candidate), blocked: make(map[queueKey]bool)}
	var assigned [2]int
	for {
		o, ok := s.assignNext(now, cache)
		if !ok {
			break
		}
		assigned[lengthIndex(o.long)]++
		out = append(out, o)
	}
	if s.Len() > 0 {
		s.contendedAt = now
	}
	for length, n := range s.queue.CountByLength() {
		if n == 0 {
			s.throughputs[length].reset()
			continue
		}
		s.throughputs[length].observe(now, assigned[length])
	}
	return out
}

// expireRequests removes the requests whose deadline has passed and returns their
// outcomes.
func (s *Scheduler) expireRequests(now time.Time) []Outcome {
	var out []Outcome
	var due []uint64
	for id, w := range s.waiting {
		if !now.Before(w.request.Deadline) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		w := s.waiting[id]
		if w.decision.Reason == "" {
			// The request was never the first of its queue, so no decision was
			// made for it.
			w.decision = s.decisions[queueKeyOf(w.item)]
		}
		err := s.newRefusedError(ErrBusy, w, now)
		if w.decision.Usable == 0 {
			err = ErrNoReplica
		}
		out = append(out, Outcome{
			id: id, request: w.request, long: w.item.Long, decision: w.decision, wait: now.Sub(w.request.Arrived), err: err,
		})
		s.Cancel(id)
	}
	return out
}

// prune removes the loads of replicas on which this entry has none and that have vanished
// or are idle, and the decisions for queues without requests.
func (s *Scheduler) prune(now time.Time) {
	if now.Sub(s.prunedAt) < _pruneInterval {
		return
	}
	s.prunedAt = now
	for k, l := range s.loads {
		if l.isOutdated(now) {
			delete(s.loads, k)
		}
	}
	queues := make(map[queueKey]bool)
	for _, w := range s.waiting {
		queues[queueKeyOf(w.item)] = true
	}
	for k := range s.decisions {
		if !queues[k] {
			delete(s.decisions, k)
		}
	}
}

// assignNext assigns a slot to the first request, in queue order, for which
// a replica has room, and takes the request out of the queue.
func (s *Scheduler) assignNext(now time.Time, cache *candidateCache) (Outcome, bool) {
	var chosen router.Candidate
	item, ok := s.queue.Next(now, func(i queuer.Item) bool {
		w := s.waiting[i.ID]
		if cache.blocked[queueKeyOf(i)] {
			return false
		}
		q := router.Request{Long: w.item.Long, Contended: now.Sub(s.contendedAt) < _contentionPeriod, Tried: w.request.Tried}
		w.decision = s.Router.Route(q, cache.get(w.request), now)
		if w.decision.Chosen == nil {
			cache.blocked[queueKeyOf(i)] = true
			if i.Class == w.request.Model {
				s.decisions[queueKeyOf(i)] = w.decision
			}
			return false
		}
		chosen = *w.decision.Chosen
		return true
	})
	if !ok {
		return Outcome{}, false
	}
	w := s.waiting[item.ID]
	delete(s.waiting, item.ID)
	h := &heldSlot{request: w.request, replica: router.KeyOf(chosen.Replica), item: item, long: item.Long}
	s.slots[item.ID] = h
	s.changeLoad(h.replica, h.long, 1, now)
	cache.countSlot(h)
	return Outcome{id: item.ID, request: w.request, long: h.long, decision: w.decision, chosen: chosen, wait: now.Sub(w.request.Arrived)}, true
}

// changeLoad adds delta to the load that this entry puts on a replica.
func (s *Scheduler) changeLoad(replica router.Key, long bool, delta int, now time.Time) {
	l, ok := s.loads[replica]
	if !ok {
		l = &replicaLoad{}
		s.loads[replica] = l
	}
	l.all += delta
	if long {
		l.long += delta
	}
	l.changes = append(l.changes, loadChange{at: now, delta: delta})
}
