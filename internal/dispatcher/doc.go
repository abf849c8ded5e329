// Package dispatcher gives waiting requests a place in a replica.
//
// One goroutine owns the queue and the counts of work in each replica; requests
// reach it by channels and wait for their answer.
package dispatcher
