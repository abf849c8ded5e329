// Package prober gathers evidence: it asks instances for their own status.
//
// Evidence is dated by when its probe was sent, so that a status is never taken
// for newer than it is. A replica is confirmed at a time where every member,
// asked at that time or later, said that it is ready for the replica's
// generation and has not started anew since.
package prober
