// Package explainer tells the decision events of a request in plain words, for
// a reader with no technical background.
//
// It is pure: the same events always give the same sentences.
package explainer
