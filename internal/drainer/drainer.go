package drainer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
)

const (
	// _quietTime is how long a connection is quiet before it is closed: a caller that has
	// just connected or received a response may be about to send a request.
	_quietTime = 500 * time.Millisecond
	// _stallTime is how long a caller must have taken nothing of a response before its connection
	// is closed for another one. Most callers read what they asked for at once.
	_stallTime = time.Second
	// _slowTime is how long a request must have come incompletely before its connection is closed
	// for another one.
	_slowTime = time.Second
	// _pollInterval is the time between two searches for quiet connections.
	_pollInterval = 50 * time.Millisecond
)

// Drainer drains the connections of one HTTP server. The zero value is ready for use. It is
// safe for concurrent use.
type Drainer struct {
	// Limit is the largest number of open connections; 0 means no limit. Beyond it the
	// connection that has been quiet longest is closed, or else the one whose caller has
	// longest taken nothing of its response, or else the one on which a request has come
	// longest and is incomplete. Where there is none, the new one waits for a while, and is then
	// closed. Set it before use.
	Limit int
	// HeadMemoryLimit is the largest memory, in bytes, of the heads of requests that are being
	// read or served; 0 means no limit. Beyond it the connection with the largest is closed.
	// Set it before use.
	HeadMemoryLimit int64
	// ReceiveBuffer is the size that the sockets of accepted connections ask for their receive
	// buffers, and BodyBuffer that while a large body comes, in bytes; 0 if sizes are those of
	// the operating system. Set them before use.
	ReceiveBuffer, BodyBuffer int
	// OnReceiveBuffer is called when the sum of these sizes changes, with the difference in
	// bytes; it may be nil. Set it before use.
	OnReceiveBuffer func(difference int)

	draining atomic.Bool
	// refused counts the connections that were closed as soon as they were accepted.
	refused atomic.Int64
	// headsCut counts the connections that were closed for the memory of their heads.
	headsCut atomic.Int64
	// slowCut counts the connections that were closed for another one while a request came.
	slowCut atomic.Int64

	mu       sync.Mutex
	listener *listener
	conns    map[*conn]struct{}
	// headMemory is the sum of that of all connections.
	headMemory int64
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// Attach prepares a server that will serve the connections of l, and returns the listener
// to serve. Call it once.
func (d *Drainer) Attach(s *http.Server, l net.Listener) net.Listener {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setBusy()
		}
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*conn); ok && state == http.StateIdle {
			d.beginHead(x)
			x.setQuiet(time.Now())
		}
	}
	d.listener = &listener{Listener: l, drainer: d, closed: make(chan struct{})}
	return d.listener
}

// Open returns the number of open connections.
func (d *Drainer) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// Refused returns the number of connections that were closed because too many were open.
func (d *Drainer) Refused() int64 { return d.refused.Load() }

// SlowCut returns the number of connections that were closed for another one while a request
// came.
func (d *Drainer) SlowCut() int64 { return d.slowCut.Load() }

// makeRoom reports whether another connection may be served. Where too many are open, it has
// one closed that no caller seems to need.
func (d *Drainer) makeRoom(now time.Time) bool {
	if d.Limit == 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) < d.Limit {
		return true
	}
	if c, since := d.first((*conn).quietTime, now.Add(-_quietTime)); c != nil {
		c.endIfQuiet(since)
		return true
	}
	if c, _ := d.first((*conn).stalledSince, now.Add(-_stallTime)); c != nil {
		d.abort(c)
		return true
	}
	if c, _ := d.first((*conn).incompleteSince, now.Add(-_slowTime)); c != nil {
		d.slowCut.Add(1)
		d.abort(c)
		return true
	}
	return false
}

// first returns the connection with the earliest time, and that time, among those whose time is
// neither zero nor later than limit; nil if there is none. The caller holds the mutex.
func (d *Drainer) first(timeOf func(*conn) time.Time, limit time.Time) (*conn, time.Time) {
	var first *conn
	var since time.Time
	for c := range d.conns {
		at := timeOf(c)
		if !at.IsZero() && !at.After(limit) && (first == nil || at.Before(since)) {
			first, since = c, at
		}
	}
	return first, since
}

// Drain stops accepting connections, and closes the others as they become quiet. It
// returns when none is left, or an error with their number when ctx ends.
func (d *Drainer) Drain(ctx context.Context) error {
	d.draining.Store(true)
	d.listener.drain(ctx)
	for {
		open := d.closeQuiet(time.Now())
		if open == 0 {
			return nil
		}
		if !pauser.Pause(ctx, _pollInterval) {
			return fmt.Errorf("drainer: %d connections are open: %w", open, context.Cause(ctx))
		}
	}
}

// closeQuiet ends the connections that have been quiet for _quietTime, and returns the
// number of open connections.
func (d *Drainer) closeQuiet(now time.Time) int {
	d.mu.Lock()
	conns := make([]*conn, 0, len(d.conns))
	for c := range d.conns {
		conns = append(conns, c)
	}
	d.mu.Unlock()
	for _, c := range conns {
		c.endIfQuiet(now.Add(-_quietTime))
	}
	return len(conns)
}

func (d *Drainer) add(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = make(map[*conn]struct{})
	}
	d.conns[c] = struct{}{}
	d.setBuffer(c, d.ReceiveBuffer)
}

func (d *Drainer) remove(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(c)
}

// forget takes a connection out of the account. The caller holds the mutex.
func (d *Drainer) forget(c *conn) {
	d.releaseHead(c)
	d.setBuffer(c, 0)
	delete(d.conns, c)
}

// abort closes a connection, which ends the server's reads and writes of it. The caller holds the
// mutex.
func (d *Drainer) abort(c *conn) {
	d.forget(c)
	_ = c.Conn.Close() // an error means that it is closed
}
