// Package drainer ends an HTTP server without losing requests that have arrived.
//
// http.Server.Shutdown closes connections by what the server has read so far, and drops
// the requests that it reads later. On a busy processor that is late: requests wait unread
// in the queues of the operating system. A Drainer first serves the connections that wait
// to be accepted. It then lets each connection that has been quiet for a while look once
// more whether bytes have arrived, and closes only those without. Requests that arrive
// meanwhile are served, and their responses close the connection.
package drainer
