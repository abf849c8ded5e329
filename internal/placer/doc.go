// Package placer is the control loop that places a data centre's replicas.
//
// Of all placers of a data centre only the holder of its lease acts. In each
// round it decides through package planner, writes the changed placements by
// conditional update, and sends orders to the engines.
//
// A new holder first rewrites every placement of its data centre once, with its
// own term, and decides only on what these writes stored. Any write of an
// earlier holder that is still in flight then fails, since its expected version
// is old. Without that, two holders with different instance lists could place
// one instance in two domains. From then on the holder is the only writer, so it
// reads the placements again only after a write failed.
//
// Every order carries the generation that such a write stored, so the orders of
// a holder that lost its lease have older generations than those that follow. An
// engine that checks fencing refuses an order that is older than the one it
// accepted last. Any other engine accepts it and reports so in its status: the
// replica is then not routable, and is loaded again.
package placer
