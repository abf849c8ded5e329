// Package admitter decides whether a request is sent to a model's groups now or
// refused at once, and after what time a refused caller should retry.
//
// At peak load, more requests arrive than the groups have slots, and they arrive
// at several processes that do not coordinate each decision. Without admission
// control, requests queue until the first events of all of them are late.
//
// A request is called returning if its caller was refused before and retries.
//
// The decisions do no I/O and read no clock: the number of requests in flight,
// the observed waits and the time are passed in.
package admitter
