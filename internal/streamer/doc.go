// Package streamer brings one answer from a replica to its caller.
//
// A chunk is passed on only when every member of the replica was seen ready
// after the chunk arrived (or within the policy's window before). Where a member
// is gone, held chunks are dropped and the answer goes on from another replica at
// the last token that was passed on, so the caller sees one whole answer.
package streamer
