package serviceclient

import (
	"net/http"
	"strings"
)

// _hopByHop belong to one connection and are never passed on.
var _hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the headers that belong to one
// connection, those that Connection names included.
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
	for _, n := range _hopByHop {
		out.Del(n)
	}
	return out
}
