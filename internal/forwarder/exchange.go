package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request as it is sent to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header must hold no field that concerns only one connection.
	Header http.Header
	Body   []byte
	// Matches says whether an answer belongs to this request; nil takes any. An
	// answer to an earlier request that comes late is skipped.
	Matches func(http.Header) bool
}

// ExchangeError is an error of an exchange.
type ExchangeError struct {
	Step string
	Peer string
	// Sent says that a byte of the request may have left.
	Sent bool
	// Reused says that the request went out on a kept connection.
	Reused bool
	Err    error
}

// Error tells the step, the peer and the cause.
func (f *ExchangeError) Error() string {
	return fmt.Sprintf("forwarder: %s %s: sent=%t reused=%t: %v", f.Step, f.Peer, f.Sent, f.Reused, f.Err)
}

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.Err }

// _maxSkipped bounds the late answers that are skipped on one connection.
const _maxSkipped = 2

// Exchange is an answer that is being read. Close it.
type Exchange struct {
	Response *http.Response
	pool     *Pool
	conn     *conn
	stop     func() bool
	ended    bool
}

// Send sends a request to an upstream and waits for the head of its answer. The
// end of ctx breaks the exchange off, also while the answer's body is read.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	c, err := p.take(ctx, address)
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
		return &ExchangeError{Step: step, Peer: address, Sent: sent, Reused: c.kept, Err: err}
	}
	if n, err := c.Write(r.encode()); err != nil {
		return nil, fail("write to", n > 0, err)
	}
	for skipped := 0; ; skipped++ {
		res, err := x.head(r.Method)
		if err != nil {
			return nil, fail("read the answer of", true, err)
		}
		if r.Matches == nil || r.Matches(res.Header) {
			x.Response = res
			return x, nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || skipped >= _maxSkipped || res.Close {
			return nil, fail("read the answer of", true, errors.New("the answer belongs to another request"))
		}
	}
}

// head reads the head of an answer; interim ones are skipped.
func (x *Exchange) head(method string) (*http.Response, error) {
	const interim = 200 // statuses below are no final answers
	for {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= interim {
			return res, nil
		}
	}
}

// Read reads the answer's body; io.EOF says that it is whole.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Response.Body.Read(b)
	x.ended = x.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close ends the exchange. The connection is kept where the answer was read to
// its end and nothing else came.
func (x *Exchange) Close() error {
	running := x.stop()
	if !running || !x.ended || x.Response.Close || x.Response.ProtoMinor == 0 || x.conn.reader.Buffered() > 0 {
		return x.conn.Close()
	}
	x.conn.limit = idleLimit(x.Response.Header)
	x.pool.put(x.conn)
	return nil
}

// idleLimit returns how long a connection may stay unused: well under the time
// that the upstream names, so that a request doesn't cross its close.
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

// encode returns the request's bytes.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer takes every write
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
