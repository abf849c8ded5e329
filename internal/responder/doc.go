// Package responder writes refusals: JSON errors that say what happened, whether
// the call ran, and what to mend.
package responder
