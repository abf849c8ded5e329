// Package balancer chooses the upstream of a request among those that can serve
// it, from the requests that this process and its peers have in flight there and
// from the failures seen.
//
// It is made for several processes that share the capacity of the same upstreams
// without coordinating on single requests, and for upstreams that stop responding
// or refuse requests.
package balancer
