package scheduler

import (
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
	used    map[string]used
}

// waiting is a request in the queue.
type waiting struct {
	request  Request
	arrived  time.Time
	decision router.Decision
}

// used is the work that this entry has in a replica.
type used struct {
	all, long int
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
		s.used = make(map[string]used)
	}
	s.lastID++
	s.waiting[s.lastID] = &waiting{request: q, arrived: now}
	s.queue.Push(queuer.Item{
		ID: s.lastID, Organisation: q.Organisation, Weight: q.Weight, Long: q.Long, Cost: q.Cost, Arrived: now,
	})
	return s.lastID, nil
}

// Cancel takes a request out of the queue; one that is not there is ignored.
func (s *Scheduler) Cancel(id uint64) {
	s.queue.Remove(id)
	delete(s.waiting, id)
}

// Release gives back a place in a replica.
func (s *Scheduler) Release(replica string, long bool) { s.count(replica, long, -1) }

// Review gives out places and refuses the requests whose deadline has passed.
func (s *Scheduler) Review(now time.Time, view View) []Outcome {
	var out []Outcome
	for {
		o, ok := s.next(now, view)
		if !ok {
			break
		}
		out = append(out, o)
	}
	for id, w := range s.waiting {
		if now.Before(w.request.Deadline) {
			continue
		}
		err := ErrBusy
		if w.decision.Usable == 0 {
			err = ErrNoReplica
		}
		out = append(out, Outcome{id: id, request: w.request, decision: w.decision, wait: now.Sub(w.arrived), err: err})
		s.Cancel(id)
	}
	return out
}

// next takes the first request that fits out of the queue.
func (s *Scheduler) next(now time.Time, view View) (Outcome, bool) {
	var chosen router.Candidate
	item, ok := s.queue.Next(now, func(i queuer.Item) bool {
		w := s.waiting[i.ID]
		q := router.Request{Long: w.request.Long, Tried: w.request.Tried}
		w.decision = s.Router.Route(q, s.candidates(w.request, view), now)
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
	s.count(chosen.Replica.GetName(), w.request.Long, 1)
	return Outcome{id: item.ID, request: w.request, decision: w.decision, chosen: chosen, wait: now.Sub(w.arrived)}, true
}

func (s *Scheduler) candidates(q Request, view View) []router.Candidate {
	list := view(q.Model, q.Organisation)
	for i := range list {
		u := s.used[list[i].Replica.GetName()]
		list[i].Local, list[i].LocalLong = u.all, u.long
	}
	return list
}

func (s *Scheduler) count(replica string, long bool, by int) {
	u := s.used[replica]
	u.all += by
	if long {
		u.long += by
	}
	s.used[replica] = u
	if u.all == 0 {
		delete(s.used, replica)
	}
}
