// Package balancer chooses the upstream of a request among those that can serve
// it, from what this process has in flight there and from what it saw of them.
//
// It answers this load: several processes that share the places of the same
// upstreams without talking, with upstreams that fall silent or refuse.
package balancer
