package networker_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// receiveBuffer returns how many bytes the operating system keeps for a connection.
func receiveBuffer(t *testing.T, c net.Conn) int {
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	size, optionErr := 0, error(nil)
	require.NoError(t, raw.Control(func(fd uintptr) {
		size, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}))
	require.NoError(t, optionErr)
	return size
}

// Guards against connections for which the operating system keeps megabytes: those that are
// accepted, those that wait to be accepted and those that are dialed.
func TestBuffers(t *testing.T) {
	const size = 8 << 10
	n := networker.WithBuffers(networker.TimeoutNetwork{Network: networker.System{}}, networker.Buffers{Receive: size, Backlog: 4})
	l, err := n.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialed, err := n.DialContext(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	for _, c := range []net.Conn{dialed, accepted} {
		assert.Equal(t, 2*size, receiveBuffer(t, c))
	}
}

// A network without buffers of its own leaves those of the operating system.
func TestNoBuffers(t *testing.T) {
	l, err := networker.WithBuffers(networker.System{}, networker.Buffers{}).Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	assert.Equal(t, receiveBuffer(t, c), receiveBuffer(t, accepted))
}
