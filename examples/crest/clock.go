package main

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// clock runs events in the order of their times; events of one time run in the
// order in which they were added. The zero value is at 0.
type clock struct {
	now    time.Duration
	events events
	order  int
}

// after runs do once d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + max(0, d), order: c.order, do: do})
}

// run runs all events up to the end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}

// time returns the virtual time of day.
func (c *clock) time() time.Time { return time.Unix(0, 0).Add(c.now) }

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
