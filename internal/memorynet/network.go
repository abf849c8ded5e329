package memorynet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// _basePort is one less than the first port picked for a listener on port 0.
const _basePort = 40000

// Network connects hosts with TCP connections and UDP sockets. The zero value is ready
// for use. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	sockets   map[netip.AddrPort]*packetConn
	blocked   map[[2]string]bool // by the IP addresses of the sender and the receiver
	changed   chan struct{}      // closed at the next change of blocked
	portCount int                // ports picked for listeners on port 0 so far
}

// Host is a host on the network. It implements networker.Network.
type Host struct {
	network *Network
	ip      string
	latency time.Duration
}

// Host returns the host with an IP address. Each dial, write and datagram from it takes
// latency, which should differ between hosts, so that events on different hosts don't
// happen at the same instant.
func (n *Network) Host(ip string, latency time.Duration) *Host {
	return &Host{network: n, ip: ip, latency: latency}
}

// Block blocks the traffic between two hosts, given by IP address, in both directions,
// until Unblock is called. Connections stay open and their writes wait; datagrams are
// lost. With the same host twice it blocks all traffic of that host, as if the host
// were frozen.
func (n *Network) Block(a, b string) { n.setBlocked(a, b, true) }

// Unblock ends a Block or BlockOneWay of the same hosts.
func (n *Network) Unblock(a, b string) { n.setBlocked(a, b, false) }

// BlockOneWay is Block for the traffic from one host to another alone.
func (n *Network) BlockOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.block([][2]string{{from, to}}, true)
}

// Silence makes the open connections of a host pass on nothing more, without closing them.
// New connections work.
func (n *Network) Silence(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == ip || c.to == ip {
			c.silent.Store(true)
		}
	}
}

// CloseHost closes all listeners, connections and sockets of a host, as a crash of the
// host would.
func (n *Network) CloseHost(ip string) {
	n.mu.Lock()
	var closing []interface{ Close() error }
	for _, l := range n.listeners {
		if l.host.ip == ip {
			closing = append(closing, l)
		}
	}
	for a, p := range n.sockets {
		if a.Addr().String() == ip {
			closing = append(closing, p)
		}
	}
	for c := range n.conns {
		if c.from == ip || c.to == ip {
			closing = append(closing, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

func (n *Network) setBlocked(a, b string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.block([][2]string{{a, b}, {b, a}}, blocked)
}

// block sets whether the traffic from the first to the second of each pair of hosts is blocked.
// The caller holds the lock.
func (n *Network) block(pairs [][2]string, blocked bool) {
	if n.blocked == nil {
		n.blocked = make(map[[2]string]bool)
	}
	for _, p := range pairs {
		n.blocked[p] = blocked
	}
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// blockState returns whether the traffic between two hosts is blocked, and a channel
// that is closed when any block begins or ends.
func (n *Network) blockState(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	blocked := n.blocked[[2]string{a, b}] || n.blocked[[2]string{a, a}] || n.blocked[[2]string{b, b}]
	return blocked, n.changed
}

// DialContext connects to the listener at address. It fails with ECONNREFUSED if there
// is none.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("memorynet: dial %s: %w", address, err)
	}
	to := target.Addr().String()
	if err := h.waitToSend(ctx, to, nil); err != nil {
		return nil, fmt.Errorf("memorynet: dial %s: %w", address, err)
	}
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	local, remote := net.Pipe()
	a := n.addConn(local, h.ip, to, h.latency)
	b := n.addConn(remote, to, h.ip, l.host.latency)
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// waitToSend waits for the host's latency, and then until its traffic to another host
// isn't blocked. It fails with net.ErrClosed when closed is closed.
func (h *Host) waitToSend(ctx context.Context, to string, closed <-chan struct{}) error {
	return waitToSend(ctx, h.network, h.ip, to, h.latency, closed)
}

func waitToSend(ctx context.Context, n *Network, from, to string, latency time.Duration, closed <-chan struct{}) error {
	t := time.NewTimer(latency)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	case <-closed:
		return net.ErrClosed
	}
	for {
		blocked, changed := n.blockState(from, to)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return net.ErrClosed
		}
	}
}

func (n *Network) addConn(c net.Conn, from, to string, latency time.Duration) *conn {
	x := &conn{Conn: c, network: n, from: from, to: to, latency: latency, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]bool)
	}
	n.conns[x] = true
	return x
}

// Listen listens on the port of address at the IP address of the host; port 0 picks a
// free port.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("memorynet: listen %s: %w", address, err)
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.portCount++
		port = strconv.Itoa(_basePort + n.portCount)
	}
	bound := net.JoinHostPort(h.ip, port)
	if n.listeners[bound] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, address: bound, accept: make(chan net.Conn), closed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[bound] = l
	return l, nil
}

// listener is a TCP listener of a host.
type listener struct {
	host    *Host
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; later connections are refused.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		n := l.host.network
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.listeners, l.address)
	})
	return nil
}

// Addr returns the address that the listener listens on.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.address))
}

// conn is one end of a TCP connection.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	latency  time.Duration
	closed   chan struct{}
	once     sync.Once
	// silent is true once nothing that is written arrives any more.
	silent atomic.Bool
}

// RemoteAddr returns the address of the other end's host, without a port.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.to)} }

// Write waits for the latency and while the traffic is blocked, and then writes.
func (c *conn) Write(p []byte) (int, error) {
	if err := waitToSend(context.Background(), c.network, c.from, c.to, c.latency, c.closed); err != nil {
		return 0, err
	}
	if c.silent.Load() {
		return len(p), nil
	}
	k, err := c.Conn.Write(p)
	if errors.Is(err, net.ErrClosed) {
		err = syscall.ECONNRESET
	}
	return k, err
}

// Close closes this end; the other end reads EOF.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
