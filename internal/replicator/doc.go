// Package replicator shares state between the system's processes: the
// configuration, placements, the word of each process about itself, instances
// that leave, and how fresh the knowledge of the platform is.
//
// One goroutine owns the gossiper and every decision; exchanges with peers run
// in goroutines of their own. Peers are reached through an Exchanger.
package replicator
