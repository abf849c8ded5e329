// Package server implements the HTTP API for callers, the client programs of
// the organisations.
//
//	POST /v1/chat/completions   chat completions as in the OpenAI API, streamed or
//	                            in one response
//	GET  /v1/models             the models that the caller's organisation may use
//	ANY  /services/NAME/...     calls to plain services; with an Idempotency-Key, a
//	                            call to an unrepeatable service runs at most once
//
// The response to a refused request is a responder.Problem.
package server
