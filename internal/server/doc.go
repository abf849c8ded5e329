// Package server is the callers' HTTP API.
//
//	POST /v1/chat/completions   the OpenAI form, whole or streamed
//	GET  /v1/models             the models that the caller's organisation may use
//	ANY  /services/NAME/...     plain services; Idempotency-Key makes a call of an
//	                            unrepeatable service run at most once
//
// Every refusal is a responder.Problem.
package server
