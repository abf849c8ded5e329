package networker

import (
	"context"
	"fmt"
	"net"
	"syscall"
)

// Buffers are the sizes of what the operating system keeps for TCP sockets of a Network. A size
// of 0 leaves that of the operating system.
type Buffers struct {
	// Receive is the size that a socket asks for its receive buffer, in bytes. Linux keeps
	// twice as much at most, where it would otherwise raise the size to megabytes for a peer
	// that sends faster than the process reads.
	Receive int
	// Backlog is the largest number of connections that wait to be accepted by a listener.
	Backlog int
}

// bufferer is a Network whose sockets can have other buffers.
type bufferer interface {
	WithBuffers(b Buffers) Network
}

// WithBuffers returns a Network like n whose TCP sockets have the given buffers. It returns n
// itself where n has no sockets of the operating system.
func WithBuffers(n Network, b Buffers) Network {
	if x, ok := n.(bufferer); ok {
		return x.WithBuffers(b)
	}
	return n
}

// WithBuffers returns a System whose TCP sockets have the given buffers.
func (System) WithBuffers(b Buffers) Network { return System{buffers: b} }

// WithBuffers returns a TimeoutNetwork whose TCP sockets have the given buffers.
func (n TimeoutNetwork) WithBuffers(b Buffers) Network {
	return TimeoutNetwork{Network: WithBuffers(n.Network, b)}
}

// control sets the size of a socket's receive buffer before it connects or listens: the first
// window that it offers its peer goes by it. Accepted connections inherit the size.
func (b Buffers) control(_, address string, c syscall.RawConn) error {
	if b.Receive == 0 {
		return nil
	}
	var sizeErr error
	err := c.Control(func(fd uintptr) {
		sizeErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, b.Receive)
	})
	if err == nil {
		err = sizeErr
	}
	if err != nil {
		return fmt.Errorf("networker: set the receive buffer of %s to %d bytes: %w", address, b.Receive, err)
	}
	return nil
}

// setBacklog bounds the connections that wait to be accepted.
func (b Buffers) setBacklog(l net.Listener) error {
	x, ok := l.(syscall.Conn)
	if !ok || b.Backlog == 0 {
		return nil
	}
	raw, err := x.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), b.Backlog) })
	if err == nil {
		err = listenErr
	}
	if err != nil {
		return fmt.Errorf("networker: bound the connections that wait at %s to %d: %w", l.Addr(), b.Backlog, err)
	}
	return nil
}

// listen returns a listener with these buffers.
func (b Buffers) listen(network, address string) (net.Listener, error) {
	c := net.ListenConfig{Control: b.control}
	l, err := c.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	if err := b.setBacklog(l); err != nil {
		_ = l.Close() // it was never used
		return nil, err
	}
	return l, nil
}
