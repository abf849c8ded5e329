// Command overhead measures what an entry adds to a draft.
//
// It runs the stand-in engines, an entry and a placer in one process over
// loopback, sends the same drafts to an engine directly and through the entry,
// and prints for both the time to the first token, the time of the whole draft,
// processor time for each token, and memory for each open stream. The stand-ins'
// own cost is in both columns.
//
//	go run ./examples/overhead [-streams 50] [-tokens 200]
package main
