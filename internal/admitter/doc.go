// Package admitter decides whether a request is sent to a model's groups now or
// refused at once, and after what time a refused caller should retry.
//
// At peak load more requests arrive than the groups have slots, and they arrive
// at several processes that do not coordinate each decision. Without admission
// control every request queues for its first event until all of them are late.
//
// The decisions do no I/O and read no clock: the number of requests in flight,
// the observed waits and the time are passed in.
package admitter
