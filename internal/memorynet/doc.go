// Package memorynet is a network in memory for tests in virtual time.
//
// Hosts have IP numbers; connections between them can be delayed, held and
// reset. It is part of the stand-ins and not of the product.
package memorynet
