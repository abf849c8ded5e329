// Package dispatcher assigns waiting requests a slot in a replica.
//
// One goroutine owns the queue and the load counts of the replicas. Callers send
// their requests to it over a channel and wait for the result.
package dispatcher
