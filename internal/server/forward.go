package server

import (
	"net"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
)

// Headers that tell a service about the caller's request.
const (
	// HeaderRequest is the request's id, as the caller gets it too.
	HeaderRequest = "Lb-Request"
	// HeaderOrganisation is the organisation whose key the caller sent.
	HeaderOrganisation = "Lb-Organisation"

	_forwardedFor   = "X-Forwarded-For"
	_forwardedHost  = "X-Forwarded-Host"
	_forwardedProto = "X-Forwarded-Proto"
)

// forwardDetails adds to h what a service may want to know of the caller's
// request. What a balancer in front already said of the caller is kept; what
// only this system can know replaces anything that the caller claims.
func forwardDetails(h http.Header, c *gin.Context) {
	if host, _, err := net.SplitHostPort(c.Request.RemoteAddr); err == nil {
		h.Set(_forwardedFor, strings.Join(append(h.Values(_forwardedFor), host), ", "))
	}
	if h.Get(_forwardedHost) == "" {
		h.Set(_forwardedHost, c.Request.Host)
	}
	if h.Get(_forwardedProto) == "" {
		h.Set(_forwardedProto, "http")
	}
	h.Set(HeaderRequest, who(c).request)
	h.Set(HeaderOrganisation, who(c).organisation)
}
