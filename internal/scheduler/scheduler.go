package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/estimator"
	"github.com/lycheebarrow/lycheebarrow/internal/queuer"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// CandidateFunc gives the replicas that may serve a model to an organisation. The
// scheduler fills in the local counts.
type CandidateFunc func(model, organisation string) []router.Candidate

// _contention is how long after requests last waited the entry goes on to leave
// other entries their part of the free slots.
const _contention = time.Second

// Scheduler holds waiting requests and counts the places given out. The zero
// value refuses each request at its next review; set the fields before use. It
// is not safe for concurrent use.
type Scheduler struct {
	// Router chooses replicas.
	Router router.Router
	// Estimator predicts lengths.
	Estimator estimator.Estimator
	// QueueLimit bounds the waiting requests; 0 means no limit.
	QueueLimit int
	// ShortWait and LongWait bound the wait of a request without a deadline.
	ShortWait, LongWait time.Duration

	queue   queuer.Queuer
	waiting map[uint64]*waiting
	places  map[uint64]*place
	lastID  uint64
	used    map[router.Key]*used
	// contended is when a review last left a request without a place.
	contended time.Time
	flows     [2]flow // of the short and the long account
	// decisions are the last ones of each lane that outlives its requests.
	decisions map[lane]router.Decision
}

// waiting is a request in the queue.
type waiting struct {
	request  Request
	item     queuer.Item
	decision router.Decision
}

// place is a place that was given out.
type place struct {
	request Request
	replica router.Key
	item    queuer.Item
	// long starts as the item's and may change while the answer grows.
	long bool
}

// Len returns the number of waiting requests.
func (s *Scheduler) Len() int { return s.queue.Len() }

// Add queues a request and returns its number, or an error where it is refused
// at once.
func (s *Scheduler) Add(q Request, now time.Time) (uint64, error) {
	if s.waiting == nil {
		s.waiting = make(map[uint64]*waiting)
		s.places = make(map[uint64]*place)
		s.used = make(map[router.Key]*used)
		s.decisions = make(map[lane]router.Decision)
	}
	s.lastID++
	w := s.wait(q, now)
	if s.QueueLimit > 0 && s.queue.Len() >= s.QueueLimit {
		return 0, s.refusal(ErrQueueFull, w, now)
	}
	// What comes back after it had a place is never refused by a forecast.
	if limit := w.request.Deadline.Sub(now).Seconds(); !q.Requeued && s.forecast(w, now).Seconds() > _admitted*limit {
		return 0, s.refusal(ErrOverloaded, w, now)
	}
	s.waiting[s.lastID] = w
	s.queue.Push(w.item)
	return s.lastID, nil
}

// wait completes a request and makes its item of the queue.
func (s *Scheduler) wait(q Request, now time.Time) *waiting {
	if q.Arrived.IsZero() {
		q.Arrived = now
	}
	e := s.Estimator.Predict(kind(q))
	long := e.Long || s.outgrown(q.TokensDelivered)
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
		// What it tried may rule out replicas that others fit, and one that comes
		// back goes before those that arrived later.
		item.Class += "#" + strconv.FormatUint(s.lastID, 10)
	}
	return &waiting{request: q, item: item}
}

func kind(q Request) estimator.Kind {
	return estimator.Kind{Organisation: q.Organisation, Model: q.Model, MaxTokens: q.MaxTokens}
}

func (s *Scheduler) outgrown(tokens int) bool {
	return s.Estimator.LongTokens > 0 && tokens >= s.Estimator.LongTokens
}

// Cancel takes a request out of the queue; one that is not there is ignored.
func (s *Scheduler) Cancel(id uint64) {
	if w, ok := s.waiting[id]; ok {
		s.queue.Remove(w.item)
		delete(s.waiting, id)
	}
}

// ReportTokens says how many tokens the answer of a place has by now. An answer that
// outgrew its estimate counts as long from then on.
func (s *Scheduler) ReportTokens(id uint64, tokens int) {
	p, ok := s.places[id]
	if !ok || p.long || !s.outgrown(tokens) {
		return
	}
	p.long = true
	s.used[p.replica].long++
}

// Release gives back a place. Tokens is the length of the whole answer, 0 where
// it is not whole.
func (s *Scheduler) Release(id uint64, tokens int, now time.Time) {
	p, ok := s.places[id]
	if !ok {
		return
	}
	delete(s.places, id)
	s.count(p.replica, p.long, -1, now)
	if tokens > 0 {
		s.Estimator.Observe(kind(p.request), tokens)
		s.queue.Charge(p.item, tokens-p.request.TokensDelivered-p.item.Cost)
	}
}

// ReleaseRefused gives back a place in a replica that was full and ran nothing. The
// replica gets no work until it reports its load again.
func (s *Scheduler) ReleaseRefused(id uint64, now time.Time) {
	p, ok := s.places[id]
	if !ok {
		return
	}
	delete(s.places, id)
	s.count(p.replica, p.long, -1, now)
	s.used[p.replica].refused = now
	s.queue.Charge(p.item, -p.item.Cost)
}

// Schedule gives out places and refuses the requests whose deadline has passed.
func (s *Scheduler) Schedule(now time.Time, view CandidateFunc) []Outcome {
	out := s.expire(now)
	lists := &lists{scheduler: s, view: view, now: now, known: make(map[audience][]router.Candidate), rejected: make(map[lane]bool)}
	var given [2]int
	for {
		o, ok := s.next(now, lists)
		if !ok {
			break
		}
		given[account(o.long)]++
		out = append(out, o)
	}
	if s.Len() > 0 {
		s.contended = now
	}
	for long, waits := range s.queue.CountByLength() {
		if waits == 0 {
			s.flows[long].rest()
			continue
		}
		s.flows[long].busy(now, given[long])
	}
	return out
}

func (s *Scheduler) expire(now time.Time) []Outcome {
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
			// It never came to the head of its lane.
			w.decision = s.decisions[laneOf(w.item)]
		}
		err := s.refusal(ErrBusy, w, now)
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

// next takes the first request that fits out of the queue.
func (s *Scheduler) next(now time.Time, lists *lists) (Outcome, bool) {
	var chosen router.Candidate
	item, ok := s.queue.Next(now, func(i queuer.Item) bool {
		w := s.waiting[i.ID]
		if lists.rejected[laneOf(i)] {
			return false
		}
		q := router.Request{Long: w.item.Long, Contended: now.Sub(s.contended) < _contention, Tried: w.request.Tried}
		w.decision = s.Router.Route(q, lists.get(w.request), now)
		if w.decision.Chosen == nil {
			lists.rejected[laneOf(i)] = true
			if i.Class == w.request.Model {
				s.decisions[laneOf(i)] = w.decision
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
	p := &place{request: w.request, replica: router.KeyOf(chosen.Replica), item: item, long: item.Long}
	s.places[item.ID] = p
	s.count(p.replica, p.long, 1, now)
	lists.given(p)
	return Outcome{id: item.ID, request: w.request, long: p.long, decision: w.decision, chosen: chosen, wait: now.Sub(w.request.Arrived)}, true
}

func (s *Scheduler) count(replica router.Key, long bool, by int, now time.Time) {
	u, ok := s.used[replica]
	if !ok {
		u = &used{}
		s.used[replica] = u
	}
	u.all += by
	if long {
		u.long += by
	}
	u.changes = append(u.changes, change{at: now, by: by})
}
