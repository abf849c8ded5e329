// Package configurer keeps the configuration that is in force in a process.
//
// The configuration is one object in the platform's store. Its number grows by
// one with each accepted patch. A process receives the configuration from the
// platform or from a peer, and never replaces it by one with a lower number.
package configurer
