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

// _packetQueue is how many datagrams wait at a socket; more are lost.
const _packetQueue = 256

// datagram is one packet on its way.
type datagram struct {
	from net.Addr
	data []byte
}

// packets is a UDP socket of a host.
type packets struct {
	host    *Host
	address netip.AddrPort
	queue   chan datagram
	closed  chan struct{}
	once    sync.Once

	mu       sync.Mutex
	deadline *time.Timer
	expired  chan struct{}
}

// ListenPacket opens a UDP socket. Datagrams between hosts that are held are
// lost.
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
	p := &packets{
		host: h, address: bound, queue: make(chan datagram, _packetQueue), closed: make(chan struct{}), expired: make(chan struct{}),
	}
	if n.sockets == nil {
		n.sockets = make(map[netip.AddrPort]*packets)
	}
	n.sockets[bound] = p
	return p, nil
}

// WriteTo sends a datagram, which arrives after the host's latency.
func (p *packets) WriteTo(b []byte, to net.Addr) (int, error) {
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

func (n *Network) deliver(from string, to netip.AddrPort, d datagram) {
	if held, _ := n.state(from, to.Addr().String()); held {
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

// ReadFrom waits for a datagram.
func (p *packets) ReadFrom(b []byte) (int, net.Addr, error) {
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

// Close loses what waits.
func (p *packets) Close() error {
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
func (p *packets) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.address) }

// SetDeadline bounds reads.
func (p *packets) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetWriteDeadline does nothing: writes don't wait.
func (p *packets) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline bounds reads that begin after it, and ends those that wait
// where t has passed. The zero time means no bound.
func (p *packets) SetReadDeadline(t time.Time) error {
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
