// Package commander implements the command line of lbctl.
//
// Commands print tables for people, or JSON with -json, and exit with one of the
// codes that begin with Exit. Only "config patch" and "drain", which sends a patch
// too, change the configuration; "try" sends a request to an entry; all other
// commands only read.
package commander
