//go:build review

// Command standin plays the cases of the review that are scripts. It starts the project's
// own program with the command and the settings template of the deploy folder, on loopback
// addresses, in front of stand-ins of the platform's store, of servers and of clients:
//
//	standin -case NAME -record FILE
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main
