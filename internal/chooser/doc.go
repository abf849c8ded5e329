// Package chooser decides which upstream of a plain service takes a call.
//
// It is a pure decision: upstreams, outcomes and the time are passed in. An
// upstream that is leaving is never chosen. One that refused a connection rests
// for a while, longer after each refusal in a row, and is chosen only where
// every other one rests as well. The own data centre goes before others, and
// among equals the upstream with the fewest calls in flight.
package chooser
