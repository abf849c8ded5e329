package scheduler

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/queuer"
	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// audience is who asks for which model.
type audience struct {
	model, organisation string
}

// lists keeps the candidates of one review, so that each is looked up once.
type lists struct {
	scheduler *Scheduler
	view      CandidateFunc
	now       time.Time
	known     map[audience][]router.Candidate
	// rejected are the lanes of the queue whose first request found no place;
	// what a review gives out only leaves less.
	rejected map[lane]bool
}

// lane tells the requests of the queue apart that find a place or don't alike.
type lane struct {
	organisation, class string
	long                bool
}

func laneOf(i queuer.Item) lane {
	return lane{organisation: i.Organisation, class: i.Class, long: i.Long}
}

// get returns the candidates for a request with what this entry knows of them.
func (l *lists) get(q Request) []router.Candidate {
	a := audience{model: q.Model, organisation: q.Organisation}
	if list, ok := l.known[a]; ok {
		return list
	}
	list := l.view(q.Model, q.Organisation)
	used := l.scheduler.used
	for i := range list {
		k := router.KeyOf(list[i].Replica)
		u, ok := used[k]
		if !ok {
			continue
		}
		u.fill(&list[i], l.now)
		if u.idle() {
			delete(used, k)
		}
	}
	l.known[a] = list
	return list
}

// given counts a place that was given in this review.
func (l *lists) given(p *place) {
	for _, list := range l.known {
		for i := range list {
			if c := &list[i]; router.KeyOf(c.Replica) == p.replica {
				c.LocalLoad++
				c.LoadChange++
				if p.long {
					c.LocalLongLoad++
				}
				break
			}
		}
	}
}
