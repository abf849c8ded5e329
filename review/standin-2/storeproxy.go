//go:build review2

package main

import (
	"io"
	"net"
	"sync"
)

// storeProxy stands between the machines and the store. While it is silent, connections open
// and nothing is answered; those of that time stay silent for good.
type storeProxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent bool
	open   map[*silencer]bool
}

// silencer is a connection through the proxy.
type silencer struct {
	mu    sync.Mutex
	muted bool
}

func (s *silencer) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
}

func (s *silencer) isMuted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.muted
}

func newStoreProxy(target string) *storeProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		quit("listen: %v", err)
	}
	p := &storeProxy{listener: l, target: target, open: make(map[*silencer]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// setSilent begins or ends a silence.
func (p *storeProxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if silent {
		for s := range p.open {
			s.mute()
		}
	}
}

func (p *storeProxy) serve(c net.Conn) {
	defer c.Close()
	s := &silencer{}
	p.mu.Lock()
	s.muted = p.silent
	p.open[s] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, s)
		p.mu.Unlock()
	}()
	if s.isMuted() {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.copy(up, c)
		_ = up.Close()
	}()
	s.copy(c, up)
	if s.isMuted() {
		<-done // until the machine gives the connection up
	}
}

// copy passes bytes on until the connection is muted; then it only reads.
func (s *silencer) copy(into io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !s.isMuted() {
			if _, err := into.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
