// Package announcer registers the system's processes in the platform's store, so that
// a process that has no address of a peer can find the others.
//
// Each process owns one object, "process/DATA-CENTRE/NAME", and writes it about once a
// minute as a heartbeat. It lists all objects at its start and then after every tenth
// write, and deletes those that were not renewed between two lists.
package announcer
