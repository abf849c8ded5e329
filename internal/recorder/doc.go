// Package recorder keeps a record of each call to an unrepeatable service that
// has an idempotency key, so that the call runs at most once.
//
// Each request that carries the call makes one attempt to run it. Before the call is
// sent, its record is created in the platform, on the condition that none exists.
// This claims the record: only the attempt that created it, its owner, may send the
// call, and no other attempt takes the record over while it has no outcome. An attempt
// that ended without sending the call stores the outcome NOT_RUN. Only such a record
// may be claimed again, by an update that is conditional on its version.
//
// A write whose response was lost may still take effect later. Therefore each
// write is conditional and carries the owner id of its attempt, so that repeating
// it can't claim a record twice. An attempt that gives up while such a write may
// still take effect never sends its call, and stores NOT_RUN in the background.
//
// The Trimmer deletes expired records. CheckKey refuses a key that carries a time,
// a UUID of version 7, before the key's record can have been deleted.
package recorder
