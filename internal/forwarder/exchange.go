package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// Request is an HTTP request to an upstream.
type Request struct {
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	// ID identifies the request, also when it is sent again. A connection carries an id
	// once: a late copy of a response has the id of its request, and could otherwise not be
	// told from the response to the next send. Without an ID, a new connection is opened.
	ID string
	// Once says that the request may run only once. It is not sent on a connection whose
	// last response has only just ended: unexpected bytes may follow that response, and
	// would leave the outcome of the request unknown.
	Once bool
	// Header must not contain hop-by-hop fields such as Connection.
	Header http.Header
	Body   []byte
	// Matches reports whether a response with that header belongs to this
	// request; nil accepts any. reused says that the connection had been used before,
	// so that a response may be a late one to an earlier request. A response that does
	// not match is skipped.
	Matches func(h http.Header, reused bool) bool
}

// ExchangeError is an error of Pool.Send.
type ExchangeError struct {
	// Step is what failed, worded to precede Peer, such as "connect to".
	Step string
	// Peer is the address of the upstream.
	Peer string
	// Sent says that at least one byte of the request may have been sent.
	Sent bool
	// Reused says that the request was sent on a connection that had been used
	// before.
	Reused bool
	// Malformed says that the upstream sent bytes that are no response. So it had not ended
	// before it responded, as one that crashes has.
	Malformed bool
	Err       error
}

// Error returns the step, the peer and the cause.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("forwarder: %s %s: sent=%t reused=%t: %v", e.Step, e.Peer, e.Sent, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// _maxStaleResponses is the largest number of responses to earlier requests that
// Send skips on a connection.
const _maxStaleResponses = 2

// Exchange is a response whose body is being read. The caller must close it.
type Exchange struct {
	Response *http.Response
	pool     *Pool
	conn     *conn
	// stop prevents the end of the context from closing conn. It returns false if
	// the context has ended.
	stop func() bool
	// ended is true once the body was read to its end.
	ended bool
	// statusLine looks for the beginning of another response in a body with a length.
	statusLine statusLineFinder
	// skipped counts the responses to earlier requests before Response.
	skipped int
}

// Skipped returns how many responses to earlier requests came on the connection before the
// one to this request.
func (x *Exchange) Skipped() int { return x.skipped }

// Send sends a request to an upstream and waits for the header of the response.
// If ctx ends, the connection is closed, also while the body is being read.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	c, err := p.acquireConn(ctx, address, r)
	if err != nil {
		return nil, &ExchangeError{Step: "connect to", Peer: address, Err: err}
	}
	x := &Exchange{pool: p, conn: c}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	fail := func(step string, sent bool, err error) error {
		x.stop()
		c.Close()
		if ctx.Err() != nil {
			err = errors.Join(context.Cause(ctx), err)
		}
		return &ExchangeError{Step: step, Peer: address, Sent: sent, Reused: c.reused, Malformed: errors.Is(err, errMalformed), Err: err}
	}
	c.carried.add(r.ID)
	if sent, err := r.write(c); err != nil {
		return nil, fail("write to", sent, err)
	}
	c.head.start()
	for {
		res, err := x.readHead(r.Method)
		if err != nil {
			return nil, fail("read the response of", true, err)
		}
		if isSpliced(res) {
			return nil, fail("read the response of", true, fmt.Errorf("%w: the head contains another one", errMalformed))
		}
		if r.Matches == nil || r.Matches(res.Header, c.reused) {
			c.head.end()
			x.Response = res
			return x, nil
		}
		if err := x.skip(res); err != nil {
			return nil, fail("read the response of", true, err)
		}
	}
}

// skip reads a response to an earlier request to its end. It fails if no other response
// can follow it, or if too many came.
func (x *Exchange) skip(res *http.Response) error {
	x.pool.skipped.Add(1)
	if res.Close || x.skipped >= _maxStaleResponses {
		return errors.New("the response belongs to another request")
	}
	x.skipped++
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("skip the response to another request: %w", err)
	}
	return nil
}

// readHead reads the header of a final response and skips interim (1xx) ones. It fails on a
// status that is neither: what follows on the connection is unknown then.
func (x *Exchange) readHead(method string) (*http.Response, error) {
	for {
		buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered()) // which never fails
		if err := x.conn.head.beginLines(buffered); err != nil {
			return nil, fmt.Errorf("%w: %w", errMalformed, err)
		}
		if err := x.checkProtocol(); err != nil {
			return nil, err
		}
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		switch {
		case err != nil && isCutOff(err):
			return nil, err
		case err != nil:
			return nil, fmt.Errorf("%w: %w", errMalformed, err)
		}
		if networker.IsInterimStatus(res.StatusCode) {
			continue
		}
		if err := networker.CheckFinalStatus(res.StatusCode); err != nil {
			return nil, fmt.Errorf("%w: %w", errMalformed, err)
		}
		return res, nil
	}
}

// errMalformed says that an upstream sent bytes that are no response.
var errMalformed = errors.New("malformed response")

// _protocolPrefix is what each response begins with.
const _protocolPrefix = "HTTP/1."

// checkProtocol waits for the first bytes of a response, and returns an error if no response
// begins with them. It leaves it to the caller to read them.
func (x *Exchange) checkProtocol() error {
	b, err := x.conn.reader.Peek(len(_protocolPrefix))
	if strings.HasPrefix(_protocolPrefix, string(b)) {
		return nil
	}
	return errors.Join(errMalformed, err)
}

// isCutOff reports whether reading a response failed because the connection had ended or was
// closed.
func isCutOff(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) || errors.As(err, &n)
}

// Read reads the body of the response; io.EOF means that the body is complete.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Response.Body.Read(b)
	isEnd := errors.Is(err, io.EOF)
	if x.Response.ContentLength > 0 {
		x.statusLine.add(b[:n])
		if isEnd && !x.ended && x.isFilled() {
			return 0, errFilled
		}
	}
	x.ended = x.ended || isEnd
	return n, err
}

// Close ends the exchange. It keeps the connection for reuse if the body was read
// to its end and nothing followed it.
func (x *Exchange) Close() error {
	running := x.stop()
	if !running || !x.allowsReuse() {
		return x.conn.Close()
	}
	x.conn.idleLimit = idleLimit(x.Response.Header)
	x.pool.put(x.conn)
	return nil
}

// allowsReuse reports whether another request may be sent on the connection.
func (x *Exchange) allowsReuse() bool {
	return x.ended && !x.Response.Close && x.Response.ProtoMinor > 0 && x.conn.reader.Buffered() == 0 && !x.conn.carried.isFull()
}

// idleLimit returns how long a connection may stay idle: three fifths of the
// timeout in the Keep-Alive field, but at most _idleLimit. The margin avoids sending a
// request while the upstream closes the connection. idleLimit returns a quarter of
// _idleLimit if there is no such timeout, and 0 if the timeout is malformed.
func idleLimit(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0
		}
		return min(_idleLimit, time.Duration(n)*time.Second*3/5)
	}
	return _idleLimit / 4
}

// _maxJoinedBody is the largest body, in bytes, that is copied behind the head so that one
// write sends both. Larger ones are not copied.
const _maxJoinedBody = 16 << 10

// write writes the request in HTTP/1.1 wire format. It returns whether any bytes may have
// left.
func (r *Request) write(w io.Writer) (sent bool, err error) {
	head := r.encodeHead()
	if len(r.Body) <= _maxJoinedBody {
		n, err := w.Write(append(head, r.Body...))
		return n > 0, err
	}
	if n, err := w.Write(head); err != nil {
		return n > 0, err
	}
	_, err = w.Write(r.Body)
	return true, err
}

// encodeHead returns the head of the request, with room for a body that is joined to it.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), _maxJoinedBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writes to a bytes.Buffer never fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
