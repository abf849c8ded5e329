package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/queuer"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// View gives the replicas that may serve a model to an organisation. The
// scheduler fills in the local counts.
type View func(model, organisation string) []router.Candidate

// Scheduler holds waiting requests and counts the places given out. The zero
// value is ready for use. It is not safe for concurrent use.
type Scheduler struct {
	// Router chooses replicas.
	Router router.Router
	// QueueLimit bounds the waiting requests; 0 means no limit.
	QueueLimit int

	queue   queuer.Queuer
	waiting map[uint64]*waiting
	lastID  uint64
	used    map[router.Key]*used
}

// waiting is a request in the queue.
type waiting struct {
	request  Request
	item     queuer.Item
	decision router.Decision
}

// Len returns the number of waiting requests.
func (s *Scheduler) Len() int { return s.queue.Len() }

// Add queues a request and returns its number, or an error where it is refused
// at once.
func (s *Scheduler) Add(q Request, now time.Time) (uint64, error) {
	if s.QueueLimit > 0 && s.queue.Len() >= s.QueueLimit {
		return 0, ErrQueueFull
	}
	if s.waiting == nil {
		s.waiting = make(map[uint64]*waiting)
		s.used = make(map[router.Key]*used)
	}
	if q.Arrived.IsZero() {
		q.Arrived = now
	}
	s.lastID++
	item := queuer.Item{
		ID: s.lastID, Organisation: q.Organisation, Weight: q.Weight, Long: q.Long, Class: q.Model, Cost: q.Cost, Arrived: q.Arrived,
	}
	if len(q.Tried) > 0 || q.Arrived.Before(now) {
		// What it tried may rule out replicas that others fit, and one that comes
		// back goes before those that arrived later.
		item.Class += "#" + strconv.FormatUint(s.lastID, 10)
	}
	s.waiting[s.lastID] = &waiting{request: q, item: item}
	s.queue.Push(item)
	return s.lastID, nil
}

// Cancel takes a request out of the queue; one that is not there is ignored.
func (s *Scheduler) Cancel(id uint64) {
	if w, ok := s.waiting[id]; ok {
		s.queue.Remove(w.item)
		delete(s.waiting, id)
	}
}

// Release gives back a place in a replica.
func (s *Scheduler) Release(replica router.Key, long bool, now time.Time) {
	s.count(replica, long, -1, now)
}

// Refused gives back a place in a replica that was full. The replica gets no
// work until it reports its load again.
func (s *Scheduler) Refused(replica router.Key, long bool, now time.Time) {
	s.count(replica, long, -1, now)
	s.used[replica].refused = now
}

// Review gives out places and refuses the requests whose deadline has passed.
func (s *Scheduler) Review(now time.Time, view View) []Outcome {
	out := s.expire(now)
	for {
		o, ok := s.next(now, view)
		if !ok {
			return out
		}
		out = append(out, o)
	}
}

func (s *Scheduler) expire(now time.Time) []Outcome {
	var out []Outcome
	for id, w := range s.waiting {
		if now.Before(w.request.Deadline) {
			continue
		}
		err := ErrBusy
		if w.decision.Usable == 0 {
			err = ErrNoReplica
		}
		out = append(out, Outcome{id: id, request: w.request, decision: w.decision, wait: now.Sub(w.request.Arrived), err: err})
		s.Cancel(id)
	}
	slices.SortFunc(out, func(a, b Outcome) int { return cmp.Compare(a.id, b.id) })
	return out
}

// next takes the first request that fits out of the queue.
func (s *Scheduler) next(now time.Time, view View) (Outcome, bool) {
	var chosen router.Candidate
	item, ok := s.queue.Next(now, func(i queuer.Item) bool {
		w := s.waiting[i.ID]
		q := router.Request{Long: w.request.Long, Tried: w.request.Tried}
		w.decision = s.Router.Route(q, s.candidates(w.request, view, now), now)
		if w.decision.Chosen == nil {
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
	s.count(router.KeyOf(chosen.Replica), w.request.Long, 1, now)
	return Outcome{id: item.ID, request: w.request, decision: w.decision, chosen: chosen, wait: now.Sub(w.request.Arrived)}, true
}

func (s *Scheduler) candidates(q Request, view View, now time.Time) []router.Candidate {
	list := view(q.Model, q.Organisation)
	for i := range list {
		u, ok := s.used[router.KeyOf(list[i].Replica)]
		if !ok {
			continue
		}
		u.fill(&list[i], now)
		if u.idle() {
			delete(s.used, router.KeyOf(list[i].Replica))
		}
	}
	return list
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
