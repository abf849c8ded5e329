package serviceclient

import (
	"net/http"
	"strings"
)

// _hopByHopHeaders are the headers that apply to a single connection and must not
// be passed on.
var _hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the headers that apply to a single
// connection, including those that the Connection header names. The copy is never
// nil.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range h.Values("Connection") {
		for n := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range _hopByHopHeaders {
		out.Del(n)
	}
	return out
}
