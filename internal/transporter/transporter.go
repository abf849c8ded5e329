package transporter

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"
)

const (
	// _maxMessageBytes bounds a message. A digest can carry a configuration of up to a
	// megabyte and its recent changes.
	_maxMessageBytes = 4 << 20
	// _idleTimeout is how long a connection without traffic stays open.
	_idleTimeout = 30 * time.Second
	// _answerTimeout bounds reading and answering one incoming message.
	_answerTimeout = 2 * time.Second
	// _maxStreams bounds the exchanges that one peer has in progress on a connection.
	_maxStreams = 8
)

// QUIC application error codes that close connections and reset streams.
const (
	_codeClosed quic.ApplicationErrorCode = 0
	_codeFailed quic.StreamErrorCode      = 1
)

// Message is a pointer to a Protocol Buffers message of type T.
type Message[T any] interface {
	*T
	proto.Message
}

// Answerer answers the message of a peer.
type Answerer[T any] interface {
	Answer(ctx context.Context, message *T) (*T, error)
}

// Transporter sends and answers messages of one type at one UDP address. Make it with
// Listen and end it with Close. It is safe for concurrent use.
type Transporter[T any, M Message[T]] struct {
	transport *quic.Transport
	tlsConfig *tls.Config
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	group     sync.WaitGroup

	mu sync.Mutex
	// connections holds the connections that this process dialled, by address.
	connections map[string]*quic.Conn
}

// Listen returns a Transporter that uses the packet connection and the secret that all
// processes share. Close closes the packet connection too. Messages are answered once Serve
// is called.
func Listen[T any, M Message[T]](packets net.PacketConn, secret string) (*Transporter[T, M], error) {
	tlsConfig, err := deriveTLSConfig(secret)
	if err != nil {
		return nil, err
	}
	t := &Transporter[T, M]{transport: &quic.Transport{Conn: packets}, tlsConfig: tlsConfig, connections: make(map[string]*quic.Conn)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if t.listener, err = t.transport.Listen(tlsConfig, quicConfig()); err != nil {
		t.cancel()
		return nil, fmt.Errorf("transporter: listen at %s: %w", packets.LocalAddr(), err)
	}
	return t, nil
}

// quicConfig returns the QUIC settings for connections in both directions. Messages use
// bidirectional streams only.
func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout: _idleTimeout, MaxIncomingStreams: _maxStreams, MaxIncomingUniStreams: -1,
		HandshakeIdleTimeout: time.Second,
	}
}

// Address returns the UDP address that the Transporter listens on.
func (t *Transporter[T, M]) Address() string { return t.transport.Conn.LocalAddr().String() }

// Serve starts answering messages with a, until Close.
func (t *Transporter[T, M]) Serve(a Answerer[T]) {
	t.group.Go(func() {
		for {
			c, err := t.listener.Accept(t.ctx)
			if err != nil {
				return
			}
			t.group.Go(func() { t.serveConnection(c, a) })
		}
	})
}

// serveConnection answers the messages of one connection until it is closed.
func (t *Transporter[T, M]) serveConnection(c *quic.Conn, a Answerer[T]) {
	for {
		s, err := c.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.group.Go(func() {
			if err := t.answerStream(s, a); err != nil {
				s.CancelRead(_codeFailed)
				s.CancelWrite(_codeFailed)
			}
		})
	}
}

// answerStream reads one message from a stream, and writes the answer to it.
func (t *Transporter[T, M]) answerStream(s *quic.Stream, a Answerer[T]) error {
	ctx, cancel := context.WithTimeout(s.Context(), _answerTimeout)
	defer cancel()
	_ = s.SetDeadline(time.Now().Add(_answerTimeout))
	m, err := receive[T, M](s)
	if err != nil {
		return err
	}
	answer, err := a.Answer(ctx, m)
	if err != nil {
		return err
	}
	return send(s, M(answer))
}

// Exchange sends a message to the peer at the address and returns the peer's answer. It
// dials the peer if there is no open connection, and closes the connection if the exchange
// fails.
func (t *Transporter[T, M]) Exchange(ctx context.Context, address string, m *T) (*T, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("transporter: connect to %s: %w", address, err)
	}
	answer, err := exchange[T, M](ctx, c, m)
	if err != nil {
		t.closeConnection(address, c)
		return nil, fmt.Errorf("transporter: exchange with %s: %w", address, err)
	}
	return answer, nil
}

// exchange sends a message on a new stream and returns the answer. The stream is reset if ctx
// ends first.
func exchange[T any, M Message[T]](ctx context.Context, c *quic.Conn, m *T) (*T, error) {
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(_codeFailed)
		s.CancelWrite(_codeFailed)
	})
	defer stop()
	if err := send(s, M(m)); err != nil {
		return nil, err
	}
	return receive[T, M](s)
}

// connect returns the open connection to an address, or dials a new one.
func (t *Transporter[T, M]) connect(ctx context.Context, address string) (*quic.Conn, error) {
	t.mu.Lock()
	c := t.connections[address]
	t.mu.Unlock()
	if c != nil && c.Context().Err() == nil {
		return c, nil
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err = t.transport.Dial(ctx, to, t.tlsConfig, quicConfig())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections[address] = c
	return c, nil
}

// closeConnection closes a connection that failed, so that the next exchange dials a
// new one.
func (t *Transporter[T, M]) closeConnection(address string, c *quic.Conn) {
	_ = c.CloseWithError(_codeClosed, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections[address] == c {
		delete(t.connections, address)
	}
}

// send writes a message to a stream and closes the stream for writing.
func send(s *quic.Stream, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if _, err := s.Write(data); err != nil {
		return err
	}
	return s.Close()
}

// receive reads a message up to the end of the stream.
func receive[T any, M Message[T]](s *quic.Stream) (*T, error) {
	data, err := io.ReadAll(io.LimitReader(s, _maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > _maxMessageBytes {
		return nil, fmt.Errorf("message is longer than %d bytes", _maxMessageBytes)
	}
	var m T
	if err := proto.Unmarshal(data, M(&m)); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return &m, nil
}

// Close closes all connections, and waits until the messages in progress are answered or have
// failed.
func (t *Transporter[T, M]) Close() error {
	t.cancel()
	err := t.listener.Close()
	t.mu.Lock()
	for _, c := range t.connections {
		_ = c.CloseWithError(_codeClosed, "")
	}
	t.mu.Unlock()
	if e := t.transport.Close(); err == nil {
		err = e
	}
	if e := t.transport.Conn.Close(); err == nil {
		err = e
	}
	t.group.Wait()
	return err
}
