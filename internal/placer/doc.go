// Package placer is the control loop of a data centre's lease holder.
//
// While it holds the lease it decides through former, writes changed placements
// by conditional update, and gives the engines their orders.
//
// A new holder first writes every placement of its data centre once, with its
// own term, and decides only on what it stored so. Any write of an earlier
// holder that is still under way then fails, since its version is old: without
// that, two holders with different lists could place one instance in two
// domains. From then on the holder is the only writer, so it reads the
// placements again only after a write failed.
//
// Every order carries the generation that such a write gave out, so an order of
// a holder that lost its lease is older than the ones that follow it. An engine
// that checks the number refuses it. One that doesn't says in its status what it
// obeyed; its replica is not routable then, and is loaded anew.
package placer
