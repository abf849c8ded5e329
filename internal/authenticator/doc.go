// Package authenticator identifies callers and operators by the key that a request carries as
// its bearer token. Keys are kept and compared only as SHA-256 digests.
package authenticator
