// Package former decides which instances form which replicas.
//
// It is a pure decision: the configuration, the placements, the instances and
// the evidence come in with the time; changed placements go out, each with its
// reason. A Former remembers only what it was shown: since when a replica has
// been loading, draining or broken, and how often an instance failed.
//
// Groups are served in the order of their priority. A broken replica is
// repaired with spares of its fabric domain. Without a spare it is held: it is
// loaded still, so a member that returns as if nothing had happened needs no new
// load. A replica that works is given up only by draining.
package former
