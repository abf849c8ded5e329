// Package reader schedules a process's own reads of the platform.
//
// Two designated processes of each data centre read the platform continuously,
// and tell the others when they last did. Any other process reads the platform
// itself once no process is known to have read it for a few seconds, whatever the
// cause: a designated reader that died or paused, a partition, or peers that
// can't be reached.
package reader
