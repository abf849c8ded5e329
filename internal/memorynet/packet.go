package memorynet

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// _packetQueue is the number of datagrams that a socket queues; further ones are lost.
const _packetQueue = 256

// datagram is one UDP packet with its sender.
type datagram struct {
	from net.Addr
	data []byte
}

// packetConn is a UDP socket of a host.
type packetConn struct {
	host    *Host
	address netip.AddrPort
	queue   chan datagram
	closed  chan struct{}
	once    sync.Once

	mu       sync.Mutex
	deadline *time.Timer
	expired  chan struct{}
}

// ListenPacket opens a UDP socket at address. Datagrams are lost while the traffic
// between their sender and their receiver is blocked.
func (h *Host) ListenPacket(address string) (net.PacketConn, error) {
	bound, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("memorynet: listen %s: %w", address, err)
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets[bound] != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: syscall.EADDRINUSE}
	}
	p := &packetConn{
		host: h, address: bound, queue: make(chan datagram, _packetQueue), closed: make(chan struct{}), expired: make(chan struct{}),
	}
	if n.sockets == nil {
		n.sockets = make(map[netip.AddrPort]*packetConn)
	}
	n.sockets[bound] = p
	return p, nil
}

// WriteTo sends a datagram, which arrives after the latency of the sending host.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	address, err := netip.ParseAddrPort(to.String())
	if err != nil {
		return 0, fmt.Errorf("memorynet: write to %s: %w", to, err)
	}
	d := datagram{from: p.LocalAddr(), data: append([]byte(nil), b...)}
	time.AfterFunc(p.host.latency, func() { p.host.network.deliver(p.host.ip, address, d) })
	return len(b), nil
}

// deliver queues a datagram at the socket it is addressed to. The datagram is lost if
// the traffic is blocked, there is no such socket, or the socket's queue is full.
func (n *Network) deliver(from string, to netip.AddrPort, d datagram) {
	if blocked, _ := n.blockState(from, to.Addr().String()); blocked {
		return
	}
	n.mu.Lock()
	p := n.sockets[to]
	n.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.queue <- d:
	default:
	}
}

// ReadFrom waits for the next datagram. It fails with os.ErrDeadlineExceeded when the
// read deadline has passed.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	p.mu.Lock()
	expired := p.expired
	p.mu.Unlock()
	select {
	case d := <-p.queue:
		return copy(b, d.data), d.from, nil
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

// Close closes the socket; datagrams in its queue are lost.
func (p *packetConn) Close() error {
	p.once.Do(func() {
		close(p.closed)
		n := p.host.network
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.sockets, p.address)
	})
	return nil
}

// LocalAddr returns the address of the socket.
func (p *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.address) }

// SetDeadline sets the read deadline; writes need none.
func (p *packetConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetWriteDeadline does nothing, because writes never block.
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline sets the deadline of reads that begin later. If t has passed already,
// it also ends the reads that wait now. The zero time means no deadline.
func (p *packetConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.deadline != nil {
		p.deadline.Stop()
	}
	select {
	case <-p.expired:
		p.expired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return nil
	}
	if d := time.Until(t); d > 0 {
		expired := p.expired
		p.deadline = time.AfterFunc(d, func() { close(expired) })
		return nil
	}
	close(p.expired)
	return nil
}
