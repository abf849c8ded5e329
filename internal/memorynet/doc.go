// Package memorynet is an in-memory network for tests in virtual time.
//
// Each host has an IP address and a latency. Traffic between hosts can be blocked, and
// the connections of a host can be closed. The package is for tests only.
package memorynet
