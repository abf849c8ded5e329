// Package streamer forwards the response of a replica to the caller.
//
// A chunk is forwarded only after every member of the replica was seen ready at a
// time after the chunk arrived, or within the window of the policy before that.
// If a member is missing, the chunks not yet forwarded are dropped and the
// response continues from another replica after the last token forwarded, so the
// caller sees one complete response.
package streamer
