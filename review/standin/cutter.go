//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// cutter forwards connections to an address. While it is cut, it passes no bytes on and
// closes nothing, as a partition does.
type cutter struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut bool
}

func newCutter(target string) (*cutter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cutter{listener: l, target: target}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go c.relay(from)
		}
	}()
	return c, nil
}

func (c *cutter) address() string { return c.listener.Addr().String() }

func (c *cutter) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// hold returns once the connection is not cut.
func (c *cutter) hold() {
	for {
		c.mu.Lock()
		cut := c.cut
		c.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *cutter) relay(from net.Conn) {
	c.hold()
	to, err := net.Dial("tcp", c.target)
	if err != nil {
		from.Close()
		return
	}
	pass := func(into, out net.Conn) {
		defer into.Close()
		defer out.Close()
		b := make([]byte, 32<<10)
		for {
			n, err := out.Read(b)
			c.hold()
			if n > 0 {
				if _, err := into.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pass(to, from)
	pass(from, to)
}
