// Package announcer lists the system's processes in the platform, so that a
// process which knows nobody finds the others.
//
// Each process keeps one object "process/DATA-CENTRE/NAME" and writes it about
// once a minute. It reads the list at its start and then rarely, and deletes
// what its writer has not renewed between two reads.
package announcer
