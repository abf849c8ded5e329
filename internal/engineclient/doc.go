// Package engineclient speaks the model engines' HTTP protocol.
//
//	GET  /status                 Status as JSON, of this instance alone
//	POST /order                  Order as JSON; 200 with the Status, or 409 where
//	                             the fencing number is older than one obeyed before
//	POST /v1/chat/completions    on a replica's leader; the OpenAI form with the
//	                             extensions of ChatRequest
//	POST /cancel                 {"attempt": id}; stops generating for an attempt
//
// A chat call carries the headers Lb-Attempt, Lb-Replica and Lb-Generation, and
// the answer echoes all three; an engine that serves another replica or
// generation answers 409 and runs nothing. A full engine answers 429 and runs
// nothing. A streamed answer is server-sent events: each holds a ChatChunk, and
// "data: [DONE]" ends the answer.
package engineclient
