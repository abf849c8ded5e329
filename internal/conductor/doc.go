// Package conductor gives upstreams the orders that package grouper decides on.
// While its process holds the lease, it checks the members of groups, sends the
// orders, and passes their outcomes back to the grouper.
//
// The lease only avoids duplicate work. Two conductors that give orders at the same
// time can't harm a group: each order carries the number of orders that the upstream
// is expected to have accepted, and an upstream with another number refuses the
// order.
package conductor
