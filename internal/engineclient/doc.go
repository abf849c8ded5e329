// Package engineclient defines the messages of the model engines' HTTP protocol
// and a client for its control calls, /status and /order.
//
//	GET  /status                 returns the Status of this instance alone as JSON
//	POST /order                  takes an Order as JSON; returns 200 with the
//	                             Status, or 409 if the fencing number is lower
//	                             than that of an order obeyed before
//	POST /v1/chat/completions    takes a ChatRequest, the OpenAI request with
//	                             extensions; only a replica's leader serves it
//	POST /cancel                 takes {"attempt": id}; stops generating for that
//	                             attempt
//
// A chat call carries the headers Lb-Attempt, Lb-Replica and Lb-Generation, and
// the answer repeats all three. An engine that serves another replica or
// generation answers 409, and an engine whose capacity is used up answers 429;
// neither runs the attempt. Refusals repeat Lb-Attempt; one without it, or with
// that of another attempt, counts as no answer, since it may be a late copy. A
// streamed answer consists of server-sent events: each holds a ChatChunk, and
// "data: [DONE]" ends the answer.
//
// A status call carries Lb-Attempt, too. Its connection is kept if the answer repeats
// the header; otherwise each status call has a connection of its own. Each order has
// one in any case.
package engineclient
