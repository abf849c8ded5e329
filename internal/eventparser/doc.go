// Package eventparser splits the stream of an upstream into events, and decides which bytes
// are an event and whether it may follow the events before it.
//
// An event has the format of text/event-stream, with one id field and at least one data
// field. Ids are consecutive numbers. The format lets clients skip fields that they don't know and
// lines without a colon; upstreams send neither, so here they are a sign of a faulty upstream.
// Comments and fields without an id or data are no event of their own: they belong to the next
// event, and no caller gets them without it.
package eventparser
