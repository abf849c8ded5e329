// Package conductor carries out what package grouper decides: while it holds
// the lease it watches the members of groups, gives orders to upstreams, and
// tells the outcomes back.
//
// The lease only saves work. Two conductors that both give orders can't harm a
// group, since each order names the count of orders that the upstream had
// accepted when it was decided on.
package conductor
