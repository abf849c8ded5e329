// Package balancer chooses the upstream for a request among those that can serve it,
// by the requests that this process and its peers have in flight at each, and by the
// failures of each.
//
// It is designed for several processes that share the capacity of the same upstreams
// without coordinating on single requests, and for upstreams that stop responding
// or refuse requests.
package balancer
