// Package follower keeps a copy of the objects of one kind in the platform's
// store: it lists them once, watches for changes, and lists again where the
// store has lost that history.
//
// While the store is away the last copy stays in force.
package follower
