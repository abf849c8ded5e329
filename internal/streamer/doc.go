// Package streamer forwards the response of a replica to the caller.
//
// A chunk is forwarded only once every member of the replica has been seen ready,
// either after the chunk arrived or at most Limits.Window before that.
// If a member is missing, the chunks not yet forwarded are dropped and the
// response continues from another replica after the last token forwarded, so the
// caller sees one complete response.
package streamer
