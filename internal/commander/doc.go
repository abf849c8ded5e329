// Package commander is the command line of lbctl.
//
// Commands print tables for people, or JSON with -json, and end with one of the
// Exit codes. A command that reads never changes anything; the only one that
// changes is "config patch" and its short form "drain".
package commander
