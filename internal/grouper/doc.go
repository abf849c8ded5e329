// Package grouper decides which upstreams form which groups. A group is a set of
// upstreams of one fabric domain that serve one model together; its head receives
// the requests. The package orders upstreams to join groups, opens groups that are
// complete, closes groups that lost a member, stages models on spares, and limits
// the rate at which model loads begin. Spares are free upstreams that are kept to
// replace lost members. To stage a model is to load it from the weight store onto an
// upstream's host before the upstream joins a group of that model.
//
// It is designed for several models of different group sizes, for upstreams that
// are lost for good every few seconds, and for new upstreams without a model that
// appear as often.
//
// The package does no I/O and reads no clock: the caller passes in the fleet, the
// outcomes of orders and the time, and gives the orders that Decide returns. The
// orders are safe while another process gives orders too: a member of an older
// group joins a new group only after the head of the older one has left it, and each
// order names the membership of the upstream on which it was decided.
package grouper
