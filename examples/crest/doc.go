// Command crest measures decisions under load: the entries' own scheduler, queue
// and router before a small model of batch-limited engines, in virtual time.
//
//	go run ./examples/crest [-seeds N] [-workload NAME] [-policy NAME]
//
// Seven entries decide on their own, from load reports that lag. Nothing else of
// the system is modelled.
package main
