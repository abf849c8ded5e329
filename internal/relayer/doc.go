// Package relayer serves the requests of callers. It finds the route of a request,
// acquires a slot at an upstream and relays the response. If an upstream fails, it
// sends the request again, resumes the stream at another upstream, or responds to the
// caller with an error. Each time that a request goes to an upstream is a send.
package relayer
