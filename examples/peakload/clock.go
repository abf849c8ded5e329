package main

import (
	"container/heap"
	"time"
)

// event is an action at a point in virtual time.
type event struct {
	at time.Duration
	// sequence is the number of the event, in the order in which they were added.
	sequence int
	action   func()
}

// clock is a virtual clock. It runs events in the order of their times; events with
// the same time run in the order in which they were added. The zero value is at 0.
type clock struct {
	now    time.Duration
	events events
	// sequence is the number of events that were added.
	sequence int
}

// after adds an event that runs action d from now, or now if d is negative.
func (c *clock) after(d time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + max(0, d), sequence: c.sequence, action: action})
}

// run runs all events whose time is not after end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.action()
	}
}

// time returns the virtual time as a time.Time, counted from the Unix epoch.
func (c *clock) time() time.Time { return time.Unix(0, 0).Add(c.now) }

// events is a heap.Interface, the earliest event first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
