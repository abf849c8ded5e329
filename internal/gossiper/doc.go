// Package gossiper chooses the peers of a process and composes the digests, the messages
// of the gossip protocol, that the process exchanges with them.
//
// A Table holds the newest known record of each process. A Gossiper composes one Digest
// for one peer: what has changed since the last digest that the peer confirmed, in the
// shortest form that the peer can use. The record of a process is sent whole only while
// the process is new or where the peer asked for it, and as a heartbeat (its id and
// changing fields) otherwise. A placement is sent whole when it changes, and as a mark
// (its id and revision) on the first contact.
//
// The package has no clock, socket or goroutine: the caller passes in the time and the
// process's own state.
package gossiper
