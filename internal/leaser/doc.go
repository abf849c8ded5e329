// Package leaser competes for a data centre's lease.
//
// The lease is one object of the platform, changed only by conditional updates.
// Clocks are never compared: a candidate takes the lease over only after it saw
// no renewal for the lease's whole duration by its own clock, and a holder counts
// its time from before it sent its last renewal.
package leaser
