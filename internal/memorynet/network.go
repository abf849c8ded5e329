package memorynet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// _firstPort is the first port given out for port 0.
const _firstPort = 40000

// Network connects hosts. The zero value is ready for use. It is safe for
// concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	sockets   map[netip.AddrPort]*packets
	held      map[[2]string]bool
	changed   chan struct{}
	port      int
}

// Host is one host's view of the network; it is a networker.Network.
type Host struct {
	network *Network
	ip      string
	latency time.Duration
}

// Host returns the host with an IP number. Each of its writes takes latency,
// which should differ between hosts, so that events don't coincide.
func (n *Network) Host(ip string, latency time.Duration) *Host {
	return &Host{network: n, ip: ip, latency: latency}
}

// Block stops all traffic between two hosts, both ways, until Release; nothing
// is reset. A host held from itself is frozen from everyone.
func (n *Network) Block(a, b string) { n.setHeld(a, b, true) }

// Unblock lets traffic between two hosts go on.
func (n *Network) Unblock(a, b string) { n.setHeld(a, b, false) }

// CloseHost closes all listeners, connections and sockets of a host.
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

func (n *Network) setHeld(a, b string, held bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held == nil {
		n.held = make(map[[2]string]bool)
	}
	n.held[[2]string{a, b}] = held
	n.held[[2]string{b, a}] = held
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// state says whether traffic is held, with a channel closed on the next change.
func (n *Network) state(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	held := n.held[[2]string{a, b}] || n.held[[2]string{a, a}] || n.held[[2]string{b, b}]
	return held, n.changed
}

// DialContext connects to a listener; a port without one refuses.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("memorynet: dial %s: %w", address, err)
	}
	to := target.Addr().String()
	if err := h.pass(ctx, to, nil); err != nil {
		return nil, fmt.Errorf("memorynet: dial %s: %w", address, err)
	}
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	a := n.track(near, h.ip, to, h.latency)
	b := n.track(far, to, h.ip, l.host.latency)
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pass waits until traffic to a host may go, and then for the latency.
func (h *Host) pass(ctx context.Context, to string, closed <-chan struct{}) error {
	return pass(ctx, h.network, h.ip, to, h.latency, closed)
}

func pass(ctx context.Context, n *Network, from, to string, latency time.Duration, closed <-chan struct{}) error {
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
		held, changed := n.state(from, to)
		if !held {
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

func (n *Network) track(c net.Conn, from, to string, latency time.Duration) *conn {
	x := &conn{Conn: c, network: n, from: from, to: to, latency: latency, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]bool)
	}
	n.conns[x] = true
	return x
}

// Listen accepts connections at the host's own IP number.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("memorynet: listen %s: %w", address, err)
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.port++
		port = strconv.Itoa(_firstPort + n.port)
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

// listener accepts connections of other hosts.
type listener struct {
	host    *Host
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses connections from now on.
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

// Addr returns the address listened on.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.address))
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	latency  time.Duration
	closed   chan struct{}
	once     sync.Once
}

// Write waits for the latency, and while traffic is held.
func (c *conn) Write(p []byte) (int, error) {
	if err := pass(context.Background(), c.network, c.from, c.to, c.latency, c.closed); err != nil {
		return 0, err
	}
	k, err := c.Conn.Write(p)
	if errors.Is(err, net.ErrClosed) {
		err = syscall.ECONNRESET
	}
	return k, err
}

// Close closes this end; the other sees the end of the stream.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
