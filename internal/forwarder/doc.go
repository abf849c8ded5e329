// Package forwarder sends a request to an upstream over HTTP/1.1 and returns the
// response.
//
// It never sends a request twice, reports whether any byte of a request may have
// been sent, and reuses a connection only if nothing unexpected arrived on it.
package forwarder
