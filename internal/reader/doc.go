// Package reader decides when a process reads the platform itself.
//
// Two processes of a data centre read it all the time and the others hear from
// them how fresh their knowledge is. A process whose knowledge was not read by
// anybody for a few seconds reads the platform itself, whatever the cause: a
// reader that died or paused, a partition, or peers that can't be reached.
package reader
