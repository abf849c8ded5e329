// Package budgeter limits how many requests are sent to upstreams again, so that
// retries don't multiply the load of upstreams that are failing.
package budgeter
