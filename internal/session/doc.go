// Package session holds the golden files of whole sessions.
//
// A session is a script in testdata: settings, timed requests, operators' patches
// and faults, then the answers of every caller and the decision log. Real entries
// and placers run against the stand-ins in virtual time over memorynet. The
// commands are listed in commands_test.go; -update rewrites the expected files.
package session
