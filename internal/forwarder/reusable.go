package forwarder

import (
	"errors"
	"syscall"
)

// isReusable reports whether an idle connection is open and nothing has arrived
// on it. A connection that does not expose its socket counts as reusable.
func isReusable(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := peekSocket(c)
	// Any result but EAGAIN is a close, an error or an unexpected byte.
	return errors.Is(err, syscall.EAGAIN)
}

// peekSocket returns the number of bytes, at most 1, that have arrived on a connection and
// were not read; 0 if the upstream has closed it. The error is EAGAIN if nothing has arrived
// or the connection does not expose its socket.
func peekSocket(c *conn) (n int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return n, errors.Join(err, peekErr)
}
