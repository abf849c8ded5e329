package networker

import (
	"context"
	"net"
)

// Network opens and accepts connections. Implementations are safe for
// concurrent use.
type Network interface {
	// DialContext connects to address, a host:port by IP number.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	// Listen accepts connections at address; port 0 picks a free port.
	Listen(network, address string) (net.Listener, error)
	// ListenPacket opens a UDP socket at address.
	ListenPacket(address string) (net.PacketConn, error)
}

// System is the Network of the machine. The zero value is ready for use.
type System struct{}

var _ Network = System{}

// DialContext connects over the machine's own TCP.
func (System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Listen listens on the machine's own TCP.
func (System) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// ListenPacket opens one of the machine's own UDP sockets.
func (System) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}
