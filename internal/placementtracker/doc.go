// Package placementtracker keeps the process's view of placements and of the
// platform's list of instances.
//
// A placement comes from the platform or from a peer. The copy with the higher
// revision wins, so the view never goes back to an older placement. The list of
// instances lags behind the instances' true state, so it may only make a replica
// unroutable, never routable.
package placementtracker
