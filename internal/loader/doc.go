// Package loader reads a program's settings from flags, environment variables
// and an INI file, and checks them whole.
//
// A key "peer-listen" is the flag -peer-listen, the environment variable
// PROGRAM_PEER_LISTEN, and in the INI file the key "listen" of the section
// [peer]; keys of one word stand before the first section. A flag wins over the
// environment, the environment over the file. Every fault is reported at once.
package loader
