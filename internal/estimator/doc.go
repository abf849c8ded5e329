// Package estimator predicts how long an answer gets.
//
// It is a pure decision: it learns from the lengths of finished answers, kept
// apart by organisation, model and the limit that the caller asked for.
package estimator
