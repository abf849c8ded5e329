package drainer

import (
	"context"

	"github.com/lycheebarrow/lycheebarrow/internal/accountant"
)

// setBuffer records the size that the socket of a connection asks for its receive buffer. The
// caller holds the mutex.
func (d *Drainer) setBuffer(c *conn, size int) {
	difference := size - c.receiveBuffer
	c.receiveBuffer = size
	if difference != 0 && d.OnReceiveBuffer != nil {
		d.OnReceiveBuffer(difference)
	}
}

// resize changes the size of the receive buffer of a connection that is open.
func (d *Drainer) resize(c *conn, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, open := d.conns[c]; !open || c.receiveBuffer == size {
		return
	}
	// If the size can't be set, the socket and the account keep the one before.
	if s, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok && s.SetReadBuffer(size) == nil {
		d.setBuffer(c, size)
	}
}

// RequestBody is the body of a request on a connection of a Drainer. The zero value is that of
// a request on another one, and does nothing.
type RequestBody struct{ conn *conn }

// BodyOf returns the body of the request with that context.
func BodyOf(ctx context.Context) RequestBody {
	c, _ := ctx.Value(connKey{}).(*conn)
	return RequestBody{conn: c}
}

// WindowBytes returns how many more bytes of the body the process may have received and not read
// after Widen.
func (b RequestBody) WindowBytes() int64 {
	if b.conn == nil {
		return 0
	}
	return accountant.UnreadBytes(b.conn.drainer.BodyBuffer - b.conn.drainer.ReceiveBuffer)
}

// Widen raises the receive buffer of the connection, so that a large body comes quickly over a
// long distance too.
func (b RequestBody) Widen() {
	if b.conn != nil && b.conn.drainer.BodyBuffer > 0 {
		b.conn.drainer.resize(b.conn, b.conn.drainer.BodyBuffer)
	}
}

// Complete records that nothing more of the request is read. It ends Widen.
func (b RequestBody) Complete() {
	if b.conn == nil {
		return
	}
	b.conn.setComplete()
	if b.conn.drainer.ReceiveBuffer > 0 {
		b.conn.drainer.resize(b.conn, b.conn.drainer.ReceiveBuffer)
	}
}
