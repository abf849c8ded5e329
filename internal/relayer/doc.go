// Package relayer serves the requests of callers. It finds the route of a request,
// acquires a slot at an upstream and relays the response. Where an upstream fails, it
// sends the request again, resumes the stream at another upstream, or gives the
// caller an error response.
package relayer
