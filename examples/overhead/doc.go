// Command overhead measures the time, processor time and memory that an entry adds to a
// draft.
//
// It runs simulated engines, an entry and a placer in one process over loopback, and
// sends the same drafts first directly to an engine, then through the entry. For both it
// prints the time to the first token, the time of the whole draft, the processor time and
// bytes per token, and the memory per open stream. Both include the cost of the simulated
// engines.
//
//	go run ./examples/overhead [-streams 50] [-tokens 200]
package main
