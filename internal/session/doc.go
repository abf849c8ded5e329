// Package session tests whole deployments with scripted and random sessions.
//
// A scripted session is a file in testdata. It starts engines, services, entries
// and placers, sends requests and configuration patches at set times, injects
// faults, and compares the answers to the callers and the decision logs with the
// expected text in the same file. A draft is a chat completion; a call is a
// request to a plain service. The entries and placers are the real ones; the
// platform, engines and services are those of package standin. All of them run
// in virtual time over an in-memory network (package memorynet). The commands of
// the scripts are listed in commands_test.go; the test flag -update rewrites the
// expected text.
package session
