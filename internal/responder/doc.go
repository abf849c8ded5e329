// Package responder writes JSON error responses. Each says what went wrong, whether the call
// ran, and what the caller can do about it.
package responder
