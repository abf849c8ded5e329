// Package prober probes instances for their status at regular intervals, and keeps
// the latest answer of each as evidence of its health.
//
// Evidence carries the time at which its probe was sent, not the time of the answer,
// so that a status is never taken for newer than it is. A replica is confirmed at a
// time if every member, probed at that time or later, answered that it is ready for
// the replica's generation and has not restarted since.
package prober
