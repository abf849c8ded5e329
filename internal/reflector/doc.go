// Package reflector keeps a local copy of the objects of one kind in the platform's
// store: it lists them once, watches for changes, and lists them again when the
// store has compacted the history that the watch needs.
//
// While the store is unavailable, the latest copy remains in use.
package reflector
