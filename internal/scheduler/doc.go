// Package scheduler decides which waiting request gets a slot, in which replica
// and when, and which request is refused.
//
// It has no clock and does no I/O: the caller passes in events and the current
// time and receives the outcomes. Each entry (see package router) has one
// Scheduler; entries do not coordinate on single requests.
package scheduler
