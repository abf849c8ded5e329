// Package lycheebarrow is the public Go API of lycheebarrow, a serving system for
// large models whose replicas span several instances.
//
// It provides a Client of the operator API. The daemons are lbentry and lbplacer, or
// lbinstance alone on the users' platform; the command line is lbctl.
package lycheebarrow
