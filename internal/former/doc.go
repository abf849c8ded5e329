// Package former decides which instances form which replicas.
//
// It is a pure decision: the configuration, the placements, the instances and
// the evidence come in; changed placements go out, each with its reason.
package former
