package journaler

import (
	"fmt"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// Capacity is how many events a Journal keeps; one event of ten
// fields takes about 1.4 KB.
const Capacity = 4096

// _requestField is the field that ties an event to a request.
const _requestField = "request"

// Event is one decision event of a request.
type Event struct {
	Time   time.Time         `json:"time"`
	Name   string            `json:"event"`
	Fields map[string]string `json:"fields"`
}

// Journal is a ring of the newest events that belong to a request. The zero
// value is empty and ready for use. It is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	events []Event
	next   int // the slot of the oldest event once the ring is full
}

// Record keeps an event that belongs to a request, and forgets the oldest one
// where the ring is full.
func (j *Journal) Record(event string, fields logger.Fields) {
	if id, ok := fields[_requestField]; !ok || id == "" {
		return
	}
	e := Event{Time: time.Now(), Name: event, Fields: make(map[string]string, len(fields))}
	for k, v := range fields {
		if v != nil {
			e.Fields[k] = fmt.Sprint(v)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.events) < Capacity {
		j.events = append(j.events, e)
		return
	}
	j.events[j.next] = e
	j.next = (j.next + 1) % Capacity
}

// RequestEvents returns the events of a request that are still kept, oldest first.
func (j *Journal) RequestEvents(id string) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Event
	for i := range j.events {
		e := j.events[(j.next+i)%len(j.events)]
		if e.Fields[_requestField] == id {
			out = append(out, e)
		}
	}
	return out
}
