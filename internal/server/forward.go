package server

import (
	"net"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
)

// Headers that tell a service about the caller's request.
const (
	// HeaderRequest is the request's id, which is also sent to the caller.
	HeaderRequest = "Lb-Request"
	// HeaderOrganisation is the organisation whose API key the caller sent.
	HeaderOrganisation = "Lb-Organisation"

	_forwardedFor   = "X-Forwarded-For"
	_forwardedHost  = "X-Forwarded-Host"
	_forwardedProto = "X-Forwarded-Proto"
)

// setForwardedHeaders adds headers to h that describe the caller's request to
// the service. X-Forwarded headers that a load balancer in front has set are
// kept, and the address of the connection is appended. The request's id and the
// organisation, which only this system knows, replace any value that the caller
// sent.
func setForwardedHeaders(h http.Header, c *gin.Context) {
	if host, _, err := net.SplitHostPort(c.Request.RemoteAddr); err == nil {
		h.Set(_forwardedFor, strings.Join(append(h.Values(_forwardedFor), host), ", "))
	}
	if h.Get(_forwardedHost) == "" {
		h.Set(_forwardedHost, c.Request.Host)
	}
	if h.Get(_forwardedProto) == "" {
		h.Set(_forwardedProto, "http")
	}
	h.Set(HeaderRequest, identityOf(c).request)
	h.Set(HeaderOrganisation, identityOf(c).organisation)
}
