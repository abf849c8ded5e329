package forwarder

import (
	"errors"
	"syscall"
)

// quiet says that an unused connection is open and that nothing arrived on it.
// Where the system can't tell, it is taken for quiet.
func quiet(c *conn) bool {
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
	good := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Anything but "nothing there" is an end, an error or an unexpected byte.
		good = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && good
}
