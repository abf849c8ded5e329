// Package serviceclient sends calls to the upstreams of plain services and tells
// whether each call ran.
//
// A call is sent once, on a connection of its own. Its outcome is NOT_RUN only if
// no byte of the call left this process, as when no connection was made, or if the
// service responded that it refused the call before running it.
package serviceclient
