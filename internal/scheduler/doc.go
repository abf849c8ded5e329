// Package scheduler decides which waiting request gets a place, in which replica
// and when, and which is refused.
//
// It is a pure decision: events and the time come in, outcomes go out. Each
// entry has one Scheduler; entries don't talk about single requests.
package scheduler
