// Package router chooses the replica for a request.
//
// It is a pure decision: the candidates and the time come in, the choice and its
// reason go out.
package router
