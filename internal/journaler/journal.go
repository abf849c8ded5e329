package journaler

import (
	"fmt"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// Capacity is the number of events that a Journal keeps. One event of ten fields takes
// about 1.4 KB.
const Capacity = 4096

// _requestField is the name of the field that holds the id of the event's request.
const _requestField = "request"

// Event is the log event of one decision about a request.
type Event struct {
	Time   time.Time         `json:"time"`
	Name   string            `json:"event"`
	Fields map[string]string `json:"fields"`
}

// Journal is a ring buffer of the newest events that belong to requests. The zero value is
// empty and ready for use. It is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	events []Event
	oldest int // index of the oldest event once the ring buffer is full
}

// Record adds an event, and overwrites the oldest one if the ring buffer is full. It ignores
// events without a request id, and fields whose value is nil.
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
	j.events[j.oldest] = e
	j.oldest = (j.oldest + 1) % Capacity
}

// RequestEvents returns the events of a request that are still kept, oldest first.
func (j *Journal) RequestEvents(id string) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Event
	for i := range j.events {
		e := j.events[(j.oldest+i)%len(j.events)]
		if e.Fields[_requestField] == id {
			out = append(out, e)
		}
	}
	return out
}
