// Package lycheebarrow is the public face of lycheebarrow, a serving system for
// large models whose replicas span several instances.
//
// It holds a Client of the operators' API. The daemons are lbentry and lbplacer,
// the command line is lbctl.
package lycheebarrow
