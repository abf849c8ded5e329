package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

const (
	// _dialTimeout bounds the time to open a connection. Upstreams are a
	// millisecond away, so one that takes longer is unreachable or overloaded. No
	// byte of the request has been sent by then.
	_dialTimeout = 400 * time.Millisecond
	// _idleLimit is the longest time that a connection stays idle.
	_idleLimit = 4 * time.Second
	// _idlePerHost is the largest number of idle connections to one upstream.
	_idlePerHost = 24
	// _minIdleForOnce is how long a connection must have been idle to carry a request that may
	// run only once. Bytes that an upstream of the same data centre sends directly after a
	// response have arrived by then.
	_minIdleForOnce = 2 * time.Millisecond
	// _readBuffer is the size of a connection's read buffer, in bytes.
	_readBuffer = 4 << 10
)

// Pool keeps idle connections to upstreams for reuse. Set Network before use. It
// is safe for concurrent use.
type Pool struct {
	Network networker.Network
	// OnOpen is called for each new connection; it may be nil.
	OnOpen func()

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool

	// skipped and passedOver are the values of Skipped and PassedOver.
	skipped, passedOver atomic.Int64
}

// Skipped returns how many responses to earlier requests came in the place of another
// response.
func (p *Pool) Skipped() int64 { return p.skipped.Load() }

// PassedOver returns how often an idle connection was not used for a request because it had
// carried the request before.
func (p *Pool) PassedOver() int64 { return p.passedOver.Load() }

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	// head limits the bytes of a response's head; reader reads through it.
	head    headLimiter
	reader  *bufio.Reader
	address string
	// idleSince is when the last response ended.
	idleSince time.Time
	// idleLimit is how long the connection may stay idle.
	idleLimit time.Duration
	// reused says that a response was received on this connection before.
	reused bool
	// carried has the ids of all requests that were sent on this connection.
	carried carriedIDs
}

// acquireConn returns an idle connection that is still usable and may carry the request,
// or a new one.
func (p *Pool) acquireConn(ctx context.Context, address string, r *Request) (*conn, error) {
	for {
		c := p.pop(address, r, time.Now())
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleLimit && isReusable(c) {
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, _dialTimeout)
	defer cancel()
	n, err := p.Network.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	c := &conn{Conn: n, head: headLimiter{reader: n}, address: address, idleLimit: _idleLimit}
	c.reader = bufio.NewReaderSize(&c.head, _readBuffer)
	return c, nil
}

// pop returns the idle connection that was used last among those that may carry a request,
// or nil if there is none.
func (p *Pool) pop(address string, r *Request, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.ID == "" {
		return nil
	}
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		switch {
		case c.carried.has(r.ID):
			p.passedOver.Add(1)
		case !r.Once || now.Sub(c.idleSince) >= _minIdleForOnce:
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// HasIdle reports whether a request with that id can reuse an idle connection to an
// upstream now, unless the upstream has closed it.
func (p *Pool) HasIdle(address, id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return id != "" && slices.ContainsFunc(p.idle[address], func(c *conn) bool {
		return now.Sub(c.idleSince) < c.idleLimit && !c.carried.has(id)
	})
}

// put makes a connection idle after a complete response.
func (p *Pool) put(c *conn) {
	c.idleSince, c.reused = time.Now(), true
	p.mu.Lock()
	if p.closed || len(p.idle[c.address]) >= _idlePerHost {
		p.mu.Unlock()
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

// CloseExpired closes the connections that have been idle for longer than their
// limit.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for a, list := range p.idle {
		n := 0
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleLimit {
				list[n] = c
				n++
				continue
			}
			expired = append(expired, c)
		}
		clear(list[n:])
		p.idle[a] = list[:n]
		if n == 0 {
			delete(p.idle, a)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Close closes the idle connections; a connection in use is closed after its
// response.
func (p *Pool) Close() error {
	p.mu.Lock()
	lists := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, list := range lists {
		for _, c := range list {
			c.Close()
		}
	}
	return nil
}
