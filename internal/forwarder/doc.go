// Package forwarder sends one request to one upstream over HTTP/1.1 and hands
// its answer back. It never repeats a request, tells whether bytes of it left,
// and keeps connections only while nothing unexpected arrives on them.
package forwarder
