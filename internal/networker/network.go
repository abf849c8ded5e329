package networker

import (
	"context"
	"net"
)

// Network opens and accepts connections. Implementations are safe for
// concurrent use.
type Network interface {
	// DialContext connects to address, a host:port whose host is an IP address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	// Listen returns a listener at address, a host:port; port 0 picks a free
	// port.
	Listen(network, address string) (net.Listener, error)
	// ListenPacket opens a UDP socket at address, a host:port.
	ListenPacket(address string) (net.PacketConn, error)
}

// MaxResponseHeadBytes is the largest size, in bytes, of the head of an HTTP response
// that clients of upstreams and of the platform accept. A server in trouble may send a
// head without end.
const MaxResponseHeadBytes = 64 << 10

// System is the Network of the operating system. The zero value is ready for
// use.
type System struct{ buffers Buffers }

var _ Network = System{}

// DialContext connects to address with a net.Dialer.
func (s System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Control: s.buffers.control}
	return d.DialContext(ctx, network, address)
}

// Listen returns a listener of the operating system at address.
func (s System) Listen(network, address string) (net.Listener, error) {
	return s.buffers.listen(network, address)
}

// ListenPacket opens a UDP socket of the operating system at address.
func (System) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}
