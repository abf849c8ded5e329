// Package leaser acquires and renews a lease, which at most one process holds at a time.
//
// The lease is one object of the platform, changed only by conditional updates. The
// clocks of two processes are never compared: a process takes the lease over only
// after it has seen no renewal for the lease's whole duration by its own clock, and
// the holder counts the duration from before it sent its last renewal.
package leaser
