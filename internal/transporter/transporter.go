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
	// _maxDigestBytes bounds a digest; it carries a configuration of up to a
	// megabyte and its recent changes.
	_maxDigestBytes = 4 << 20
	// _idleTimeout ends connections that nobody uses.
	_idleTimeout = 30 * time.Second
	// _answerTimeout bounds the work on one incoming digest.
	_answerTimeout = 2 * time.Second
	// _maxStreams bounds the exchanges that one peer has under way.
	_maxStreams = 8
)

// Codes that end connections and streams.
const (
	_codeClosed quic.ApplicationErrorCode = 0
	_codeFailed quic.StreamErrorCode      = 1
)

// Message is a pointer to a wire message of type T.
type Message[T any] interface {
	*T
	proto.Message
}

// Answerer answers a peer's message.
type Answerer[T any] interface {
	Answer(ctx context.Context, d *T) (*T, error)
}

// Transporter sends and answers messages of one type at one UDP address. Make it
// with Listen; Close it. It is safe for concurrent use.
type Transporter[T any, M Message[T]] struct {
	transport   *quic.Transport
	credentials *tls.Config
	listener    *quic.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*quic.Conn
}

// Listen speaks the peer protocol over the packet connection, which it closes
// at the end, with the secret that all processes share.
func Listen[T any, M Message[T]](packets net.PacketConn, secret string) (*Transporter[T, M], error) {
	credentials, err := credentials(secret)
	if err != nil {
		return nil, err
	}
	t := &Transporter[T, M]{transport: &quic.Transport{Conn: packets}, credentials: credentials, peers: make(map[string]*quic.Conn)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if t.listener, err = t.transport.Listen(credentials, settings()); err != nil {
		t.cancel()
		return nil, fmt.Errorf("transporter: listen at %s: %w", packets.LocalAddr(), err)
	}
	return t, nil
}

func settings() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout: _idleTimeout, MaxIncomingStreams: _maxStreams, MaxIncomingUniStreams: -1,
		HandshakeIdleTimeout: time.Second,
	}
}

// Address returns the UDP address that it listens on.
func (t *Transporter[T, M]) Address() string { return t.transport.Conn.LocalAddr().String() }

// Serve answers digests until Close.
func (t *Transporter[T, M]) Serve(a Answerer[T]) {
	t.group.Go(func() {
		for {
			c, err := t.listener.Accept(t.ctx)
			if err != nil {
				return
			}
			t.group.Go(func() { t.serve(c, a) })
		}
	})
}

func (t *Transporter[T, M]) serve(c *quic.Conn, a Answerer[T]) {
	for {
		s, err := c.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.group.Go(func() {
			if err := t.answer(s, a); err != nil {
				s.CancelRead(_codeFailed)
				s.CancelWrite(_codeFailed)
			}
		})
	}
}

func (t *Transporter[T, M]) answer(s *quic.Stream, a Answerer[T]) error {
	ctx, cancel := context.WithTimeout(s.Context(), _answerTimeout)
	defer cancel()
	_ = s.SetDeadline(time.Now().Add(_answerTimeout))
	d, err := receive[T, M](s)
	if err != nil {
		return err
	}
	answer, err := a.Answer(ctx, d)
	if err != nil {
		return err
	}
	return send(s, M(answer))
}

// Exchange sends a digest to the peer at the address and returns its answer.
func (t *Transporter[T, M]) Exchange(ctx context.Context, address string, d *T) (*T, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("transporter: connect to %s: %w", address, err)
	}
	answer, err := exchange[T, M](ctx, c, d)
	if err != nil {
		t.drop(address, c)
		return nil, fmt.Errorf("transporter: exchange with %s: %w", address, err)
	}
	return answer, nil
}

func exchange[T any, M Message[T]](ctx context.Context, c *quic.Conn, d *T) (*T, error) {
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(_codeFailed)
		s.CancelWrite(_codeFailed)
	})
	defer stop()
	if err := send(s, M(d)); err != nil {
		return nil, err
	}
	return receive[T, M](s)
}

// connect returns the connection to an address, a new one where there is none.
func (t *Transporter[T, M]) connect(ctx context.Context, address string) (*quic.Conn, error) {
	t.mu.Lock()
	c := t.peers[address]
	t.mu.Unlock()
	if c != nil && c.Context().Err() == nil {
		return c, nil
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err = t.transport.Dial(ctx, to, t.credentials, settings())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[address] = c
	return c, nil
}

// drop closes a connection that failed.
func (t *Transporter[T, M]) drop(address string, c *quic.Conn) {
	_ = c.CloseWithError(_codeClosed, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[address] == c {
		delete(t.peers, address)
	}
}

func send(s *quic.Stream, d proto.Message) error {
	text, err := proto.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if _, err := s.Write(text); err != nil {
		return err
	}
	return s.Close()
}

func receive[T any, M Message[T]](s *quic.Stream) (*T, error) {
	text, err := io.ReadAll(io.LimitReader(s, _maxDigestBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > _maxDigestBytes {
		return nil, fmt.Errorf("message of more than %d bytes", _maxDigestBytes)
	}
	var d T
	if err := proto.Unmarshal(text, M(&d)); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return &d, nil
}

// Close ends all connections and waits for the exchanges under way.
func (t *Transporter[T, M]) Close() error {
	t.cancel()
	err := t.listener.Close()
	t.mu.Lock()
	for _, c := range t.peers {
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
