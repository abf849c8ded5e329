// Package gossiper decides what a process tells its peers and which peers it
// asks.
//
// A Table holds the newest word of each process. A Gossiper composes one Digest
// for one peer: what changed since the peer last confirmed a digest, in the
// shortest form that the peer can read. A process goes out whole only while it
// is new or where the peer asked for it, and as a beat otherwise; a placement
// goes out whole when it changes, and as a mark on the first contact.
//
// The package has no clock, socket or goroutine: the time and the process's own
// state are passed in.
package gossiper
