// Package router chooses the replica that serves a request.
//
// The decision is a pure function of the request, the candidate replicas and the
// current time. It returns the chosen replica and the reason.
package router
