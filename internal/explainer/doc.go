// Package explainer describes the decision events of a request in plain English, for
// readers without a technical background.
//
// The text depends on nothing but the events.
package explainer
