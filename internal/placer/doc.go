// Package placer is the control loop of a data centre's lease holder.
//
// Each round it renews the lease, decides through former, writes changed
// placements by conditional update, and gives the engines their orders. Every
// order carries the generation that such a write gave out, so an order from a
// holder that lost its lease is older than the ones that follow it.
package placer
