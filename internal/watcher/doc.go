// Package watcher keeps the process's view of placements and of the platform's
// list of instances.
//
// A placement comes from the platform or from a peer; the copy with the higher
// revision wins, so the view never goes back. The list lags, so it may only take
// routability away.
package watcher
