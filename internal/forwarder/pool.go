package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

const (
	// _dialTimeout bounds a new connection. Upstreams are a millisecond away, so
	// one that takes longer is lost or has no room; nothing was sent then.
	_dialTimeout = 400 * time.Millisecond
	// _idleLimit is how long an unused connection is kept where the upstream
	// names no time.
	_idleLimit = 4 * time.Second
	// _idlePerHost is the largest number of unused connections to one upstream.
	_idlePerHost = 24
	// _readBuffer is the size of a connection's read buffer, in bytes.
	_readBuffer = 4 << 10
)

// Pool keeps connections to upstreams. Set Network before use. It is safe for
// concurrent use.
type Pool struct {
	Network networker.Network
	// OnOpen counts new connections; it may be nil.
	OnOpen func()

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// used is when the last answer ended.
	used time.Time
	// limit is how long the connection may stay unused.
	limit time.Duration
	// kept says that an answer came on it before.
	kept bool
}

// take returns a kept connection that seems alive, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Since(c.used) < c.limit && quiet(c) {
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, _dialTimeout)
	defer cancel()
	n, err := p.Network.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("forwarder: connect to %s: %w", address, err)
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, _readBuffer), address: address, limit: _idleLimit}, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose answer is complete.
func (p *Pool) put(c *conn) {
	c.used, c.kept = time.Now(), true
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

// CloseExpired closes connections that were unused for too long.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for a, list := range p.idle {
		n := 0
		for _, c := range list {
			if now.Sub(c.used) < c.limit {
				list[n] = c
				n++
				continue
			}
			old = append(old, c)
		}
		clear(list[n:])
		p.idle[a] = list[:n]
		if n == 0 {
			delete(p.idle, a)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes the unused connections; those in use are closed after their
// answer.
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
