// Package servicebalancer chooses the upstream for a call to a plain service, which
// is a service without model engines.
//
// The choice does no I/O and reads no clock: the upstreams, the outcomes of calls
// and the time are passed in. A draining upstream is never chosen. An upstream that
// refused a connection is in backoff, for longer after each refusal in a row, and
// is chosen only if all others are in backoff too. Upstreams in the process's own
// data centre are preferred, and among equals the one with the fewest calls in
// flight.
package servicebalancer
