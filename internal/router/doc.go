// Package router chooses the replica that serves a request.
//
// The decision is a pure function of the request, the candidate replicas and the
// current time. It returns the chosen replica and the reason.
//
// An entry is a process that takes requests from callers and routes them. Several
// entries share the replicas without coordinating on single requests.
package router
