// Package admitter decides whether a request is sent to a model's groups now or
// refused at once, and when a refused caller should come back.
//
// It answers this load: more requests at the crest of a wave than the places of
// all groups, shared by processes that do not talk. Without it every request
// waits for its first event until all of them are late.
//
// It is pure: what is in flight, the waits that were seen and the time are
// passed in.
package admitter
