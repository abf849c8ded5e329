// Package loader loads a process's settings from command-line flags, environment
// variables and an INI file, and validates them all.
//
// The setting "peer-listen" of lbentry is the flag -peer-listen, the environment
// variable LBENTRY_PEER_LISTEN, and in the INI file the key "listen" of the
// section [peer]; a key of a single word stands before the first section. A flag
// overrides the environment, and the environment overrides the file. All invalid
// settings are reported together.
package loader
