package drainer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// _acceptWait is how long the listener waits for one more connection before it
	// closes.
	_acceptWait = 5 * time.Millisecond
	// _maxWait is how long a wait takes at most if the process got processor time in it. One
	// that took longer may have ended before the queue was looked at.
	_maxWait = 2 * _acceptWait
	// _emptyAccepts is how many waits in a row must end without a connection.
	_emptyAccepts = 3
	// _maxAccepts bounds the connections that are accepted before the listener closes, where
	// new ones keep coming. It is the longest queue that Linux keeps by default, so those
	// that waited at the beginning are among them.
	_maxAccepts = 4096
	// _roomWait is how long the listener waits for room for a connection, from when there was
	// last room for one: in that time each connection that may be closed for another becomes
	// so, and the others wait in the order in which they came.
	_roomWait = max(_quietTime, _stallTime, _slowTime) + 200*time.Millisecond
	// _roomInterval is the time between two searches for room.
	_roomInterval = 20 * time.Millisecond
)

// listener is a net.Listener whose connections belong to a Drainer. Accept returns
// http.ErrServerClosed after the listener was drained.
type listener struct {
	net.Listener
	drainer  *Drainer
	draining atomic.Bool
	// fullSince is when there was last found to be no room after there had been some. Only the
	// caller of Accept uses it.
	fullSince time.Time
	// accepted counts the connections that were accepted while draining. Only the caller of
	// Accept uses it.
	accepted int
	close    sync.Once
	closed   chan struct{} // closed by Close
}

// Close closes the listener. Later calls do nothing.
func (l *listener) Close() error {
	var err error
	l.close.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.accept()
	for err == nil && !l.awaitRoom() {
		l.drainer.refused.Add(1)
		_ = c.Close() // nothing was read
		c, err = l.accept()
	}
	if err != nil {
		return nil, err
	}
	x := &conn{Conn: c, drainer: l.drainer, quietSince: time.Now(), readsHead: true}
	l.drainer.add(x)
	return x, nil
}

// awaitRoom waits for room for a connection that was accepted, and reports whether there is any.
// Without a wait, clients that come again as soon as their connections are closed would take
// each place, and others would be refused again and again.
func (l *listener) awaitRoom() bool {
	for {
		now := time.Now()
		if l.drainer.makeRoom(now) {
			l.fullSince = time.Time{}
			return true
		}
		if l.fullSince.IsZero() {
			l.fullSince = now
		}
		if l.draining.Load() || now.Sub(l.fullSince) >= _roomWait {
			return false
		}
		select {
		case <-l.closed:
			return false
		case <-time.After(_roomInterval):
		}
	}
}

// accept waits for the next connection, whether there is room for it or not.
func (l *listener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.draining.Load() {
		return l.acceptWaiting()
	}
	return c, err
}

// deadliner is a listener whose Accept can be interrupted.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// acceptWaiting accepts a connection that waits already. If there is none, it closes the
// listener and returns http.ErrServerClosed.
func (l *listener) acceptWaiting() (net.Conn, error) {
	if d, ok := l.Listener.(deadliner); ok && l.accepted < _maxAccepts {
		for empty := 0; empty < _emptyAccepts; {
			begin := time.Now()
			if err := d.SetDeadline(begin.Add(_acceptWait)); err != nil {
				break
			}
			c, err := l.Listener.Accept()
			if err == nil {
				l.accepted++
				return c, nil
			}
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
			if time.Since(begin) <= _maxWait {
				empty++
			} else {
				empty = 0
			}
		}
	}
	_ = l.Close() // an error leaves nothing to accept from
	return nil, http.ErrServerClosed
}

// drain returns once the waiting connections have been accepted and the listener is closed.
func (l *listener) drain(ctx context.Context) {
	l.draining.Store(true)
	d, ok := l.Listener.(deadliner)
	if !ok || d.SetDeadline(time.Now()) != nil {
		_ = l.Close() // an error leaves nothing to accept from
	}
	select {
	case <-l.closed:
	case <-ctx.Done():
		_ = l.Close() // an error leaves nothing to accept from
	}
}
