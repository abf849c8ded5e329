// Package authenticator tells who makes a call from the key it carries. Keys
// are kept and compared only as SHA-256 digests.
package authenticator
