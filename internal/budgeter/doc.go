// Package budgeter bounds how many requests are sent a second time, so that
// retries don't multiply the load of upstreams that are in trouble.
package budgeter
