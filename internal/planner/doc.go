// Package planner decides which instances form which replicas.
//
// A decision does no input or output. It takes the configuration, the
// placements, the instances with their probe results, and the current time. It
// returns the placements to change, and the reason for each change. Between
// decisions a Planner keeps only what it derived from earlier input: since when a
// replica has been loading, draining or broken, and how often an instance failed.
//
// Groups are handled in the order of their priority. A broken replica is
// repaired with spare instances of its fabric domain. Without a spare its
// placement is held unchanged: the other members stay loaded, so that the
// replica serves again without a load if the lost member returns with its model
// still loaded. A working replica is drained before it is removed.
package planner
