// Package quarantiner finds the parts of prompts under which upstreams crash, and keeps
// requests with such a part from being sent.
//
// It is made for a part that crashes each upstream that begins to generate output for it,
// and that arrives with many requests, at any process. Such a request looks like any other
// until it runs; its caller and its other parts also belong to sound requests, so neither
// may be refused for it.
//
// A crash names suspects: the parts of the requests that waited for their first output
// there. Output for a part clears it. A part that is a suspect in several crashes, and that
// no process has cleared, is quarantined, together with those that were suspects in the same
// crashes: only prompts with all of them are refused, since any one of them may be sound.
// If upstreams go on to crash under prompts with these parts, each part is quarantined by
// itself.
//
// Crashes count once they are confirmed: the upstream refused a connection, started again, or
// broke off several responses. Where that takes too long, a part under which responses broke off
// again and again is quarantined for a short time.
//
// Processes exchange their evidence, since each sees only some of the crashes.
//
// The package does no I/O and reads no clock.
package quarantiner
