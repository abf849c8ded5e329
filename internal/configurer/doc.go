// Package configurer owns the configuration that a process runs.
//
// The configuration is one object of the platform with a number that grows by
// one with each accepted patch. A process learns it from the platform or from a
// peer and only ever moves to a higher number.
package configurer
