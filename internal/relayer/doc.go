// Package relayer serves callers: it finds the route of a request, takes a
// place at an upstream, relays the answer, and decides what follows where an
// upstream fails: another send, a resumed stream, or the final answer.
package relayer
