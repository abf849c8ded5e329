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
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	nothingArrived := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// EAGAIN means that nothing has arrived. Any other result is a close, an
		// error or an unexpected byte.
		nothingArrived = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingArrived
}
