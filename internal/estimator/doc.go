// Package estimator predicts the length of responses.
//
// It learns from the lengths of completed responses, separately for each
// organisation, model and token limit. It has no clock and does no I/O.
package estimator
