package drainer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// _lastReadWait is how long a connection that does not expose its socket waits for bytes
// when it looks for the last time.
const _lastReadWait = time.Millisecond

// _maxStall is how long a caller may take none of the bytes of a response. Callers may pause for as
// long as configurations let them be idle between requests.
const _maxStall = 15 * time.Second

// conn is a connection that its own reader closes when the Drainer asks for it, so that no
// bytes can arrive between the last look and the decision.
type conn struct {
	net.Conn
	drainer *Drainer

	// The drainer's mutex guards the next three fields. readsHead is true while the head of a
	// request is read, up to headEnd, and headMemory is the estimated memory of the last head.
	readsHead  bool
	headEnd    headEnd
	headMemory int64
	// receiveBuffer is what the connection has of the account of receive buffers, in bytes. The
	// drainer's mutex guards it too.
	receiveBuffer int

	mu sync.Mutex
	// quietSince is when the connection was accepted or its last response ended. It is the
	// zero time while a request is read or served.
	quietSince time.Time
	// requestSince is when the first bytes of a request came that is incomplete; the zero time if
	// there is none.
	requestSince time.Time
	// ending is true from the time at which the reader was woken to look for the last time.
	ending bool
	// readDeadline is the deadline that the server has set; waking the reader overrides it.
	readDeadline time.Time
	// writeDeadline is the deadline that the server has set for writing.
	writeDeadline time.Time
	// writingSince is when the caller last took bytes of the response that is being written;
	// the zero time while nothing is.
	writingSince time.Time
}

// setQuiet records that a response has ended.
func (c *conn) setQuiet(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quietSince, c.requestSince = now, time.Time{}
}

// setBusy records that a request is read or served, and lets the reader go on if it was
// woken. A request may have been read together with the one before it, so that no Read
// showed its arrival.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.quietSince.IsZero() {
		c.quietSince, c.requestSince = time.Time{}, time.Now()
	}
	if c.ending {
		c.ending = false
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// setComplete records that a request has come whole.
func (c *conn) setComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestSince = time.Time{}
}

// incompleteSince returns since when a request has come that is incomplete; the zero time if there
// is none.
func (c *conn) incompleteSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestSince
}

// endIfQuiet wakes the reader if the connection has been quiet since a time or longer.
func (c *conn) endIfQuiet(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.quietSince.IsZero() || c.quietSince.After(since) {
		return
	}
	c.ending = true
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(time.Now())
}

// quietTime returns since when the connection has been quiet; the zero time if it is not, or
// is about to be closed.
func (c *conn) quietTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return time.Time{}
	}
	return c.quietSince
}

// isEnding reports whether the reader was woken to look for the last time.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// SetReadDeadline sets the deadline for reading. Where the reader was woken, it takes effect
// only if the connection is not closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads bytes of a request. It returns io.EOF if the reader was woken and no bytes
// have arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := 0, os.ErrDeadlineExceeded
	if !c.isEnding() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		n, err = c.lastRead(p)
	}
	if n == 0 {
		return n, err
	}
	c.setBusy()
	if headErr := c.drainer.addHead(c, p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// lastRead reads what has arrived, and returns io.EOF if that is nothing.
func (c *conn) lastRead(p []byte) (int, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		if err := c.Conn.SetReadDeadline(time.Now().Add(_lastReadWait)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			err = io.EOF
		}
		return n, errors.Join(err, c.Conn.SetReadDeadline(time.Time{}))
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		n, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	if n <= 0 {
		// Nothing has arrived, the caller has closed the connection, or it has failed.
		return 0, io.EOF
	}
	return n, nil
}

// SetWriteDeadline sets the deadline for writing, also for a Write that waits.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(c.nextWriteDeadline())
}

// nextWriteDeadline returns when a Write that makes no progress ends. The caller holds the mutex.
func (c *conn) nextWriteDeadline() time.Time {
	var stallEnd time.Time
	if !c.writingSince.IsZero() {
		stallEnd = c.writingSince.Add(_maxStall)
	}
	if stallEnd.IsZero() || !c.writeDeadline.IsZero() && c.writeDeadline.Before(stallEnd) {
		return c.writeDeadline
	}
	return stallEnd
}

// Write sends bytes of a response. It fails where the caller takes none of them for _maxStall:
// without that, a caller that does not read would hold its request and its connection for good.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	defer c.endWriting()
	for {
		if err := c.setWriting(time.Now()); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.isPastWriteDeadline(time.Now()) {
			return written, err
		}
	}
}

// setWriting records that bytes are to be written, and that the caller has taken all before them.
func (c *conn) setWriting(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = now
	return c.Conn.SetWriteDeadline(c.nextWriteDeadline())
}

func (c *conn) endWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
}

func (c *conn) isPastWriteDeadline(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeDeadline.IsZero() && !now.Before(c.writeDeadline)
}

// stalledSince returns since when the caller has taken nothing of the response that is being
// written; the zero time where nothing is.
func (c *conn) stalledSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writingSince
}

// Close closes the connection.
func (c *conn) Close() error {
	c.drainer.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, where the connection can. http.Server does so
// before it closes a connection on which a caller still sends, so that the caller can read
// the response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
