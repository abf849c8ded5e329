// Package grouper decides which upstreams form which groups: it joins members,
// opens complete groups, dissolves those that lost a member, stages models on
// spares, and keeps within the rate of loads.
//
// It answers this load: demand for several models of different group sizes,
// upstreams that are lost for good every few seconds, and new empty ones that
// come as often.
//
// It is pure: the fleet, the results of orders and the time are passed in, and
// orders come out. No order depends on who else gives orders: a member of
// another group is only taken once that group's head is known to have left it,
// and each order names the state of the upstream that it was decided on.
package grouper
