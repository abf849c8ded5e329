// Package replicator replicates state between the processes of the system: the
// configuration, the placements, the record of each process, the instances that are
// leaving, and when the configuration and the placements were last read from the
// platform.
//
// The goroutine of Run alone uses the gossiper and decides what is sent and when. Each
// exchange with a peer runs in a goroutine of its own, through an Exchanger.
package replicator
