// Package explainer describes in plain English, for readers without a technical
// background, what the system decided about a request. The text depends only on the
// request's decision events in the journal.
package explainer
