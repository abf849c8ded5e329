// Command peakload simulates how entries distribute requests under peak load: the
// entries' own scheduler, queue and router, and other policies to compare them with,
// in front of a small model of engines with a fixed number of slots, in virtual time.
//
//	go run ./examples/peakload [-seeds N] [-workload NAME] [-policy NAME]
//
// Seven entries decide independently, from reported loads that lag behind. Nothing else
// of the system is modelled.
//
// For each policy it prints how long short and long answers wait for a slot, the tokens
// of long answers and the requests with a timely first token (good) in a second of the
// peak, and the percentage of refused requests, also for the short requests of small
// organisations alone.
package main
