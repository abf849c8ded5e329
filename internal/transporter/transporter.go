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

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
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

// Answerer answers a peer's digest.
type Answerer interface {
	Answer(ctx context.Context, d *wire.Digest) (*wire.Digest, error)
}

// Transporter sends and answers digests at one UDP address. Make it with
// Listen; Close it. It is safe for concurrent use.
type Transporter struct {
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
func Listen(packets net.PacketConn, secret string) (*Transporter, error) {
	credentials, err := credentials(secret)
	if err != nil {
		return nil, err
	}
	t := &Transporter{transport: &quic.Transport{Conn: packets}, credentials: credentials, peers: make(map[string]*quic.Conn)}
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
func (t *Transporter) Address() string { return t.transport.Conn.LocalAddr().String() }

// Serve answers digests until Close.
func (t *Transporter) Serve(a Answerer) {
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

func (t *Transporter) serve(c *quic.Conn, a Answerer) {
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

func (t *Transporter) answer(s *quic.Stream, a Answerer) error {
	ctx, cancel := context.WithTimeout(s.Context(), _answerTimeout)
	defer cancel()
	_ = s.SetDeadline(time.Now().Add(_answerTimeout))
	d, err := receive(s)
	if err != nil {
		return err
	}
	answer, err := a.Answer(ctx, d)
	if err != nil {
		return err
	}
	return send(s, answer)
}

// Exchange sends a digest to the peer at the address and returns its answer.
func (t *Transporter) Exchange(ctx context.Context, address string, d *wire.Digest) (*wire.Digest, error) {
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("transporter: connect to %s: %w", address, err)
	}
	answer, err := exchange(ctx, c, d)
	if err != nil {
		t.drop(address, c)
		return nil, fmt.Errorf("transporter: exchange with %s: %w", address, err)
	}
	return answer, nil
}

func exchange(ctx context.Context, c *quic.Conn, d *wire.Digest) (*wire.Digest, error) {
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(_codeFailed)
		s.CancelWrite(_codeFailed)
	})
	defer stop()
	if err := send(s, d); err != nil {
		return nil, err
	}
	return receive(s)
}

// connect returns the connection to an address, a new one where there is none.
func (t *Transporter) connect(ctx context.Context, address string) (*quic.Conn, error) {
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
func (t *Transporter) drop(address string, c *quic.Conn) {
	_ = c.CloseWithError(_codeClosed, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[address] == c {
		delete(t.peers, address)
	}
}

func send(s *quic.Stream, d *wire.Digest) error {
	text, err := proto.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if _, err := s.Write(text); err != nil {
		return err
	}
	return s.Close()
}

func receive(s *quic.Stream) (*wire.Digest, error) {
	text, err := io.ReadAll(io.LimitReader(s, _maxDigestBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > _maxDigestBytes {
		return nil, fmt.Errorf("digest of more than %d bytes", _maxDigestBytes)
	}
	var d wire.Digest
	if err := proto.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return &d, nil
}

// Close ends all connections and waits for the exchanges under way.
func (t *Transporter) Close() error {
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
