package serviceclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _maxResponseBytes bounds the body of a service's response.
const _maxResponseBytes = 1 << 20

// HeaderOutcome is the response header in which a service says that it refused a
// call before running it. This system's own responses to callers carry it too.
const HeaderOutcome = "Lb-Outcome"

// _outcomeNotRun is the value of HeaderOutcome for a call that was not run.
const _outcomeNotRun = "not-run"

// ErrNotSent says that no connection to the upstream was made, so no byte of the
// call was sent.
var ErrNotSent = errors.New("call was not sent")

// Call is one call to a service.
type Call struct {
	Method  string
	Path    string // with the query
	Header  http.Header
	Body    []byte
	Address string // the upstream's host:port
}

// Result is the outcome of a call, with the service's response if there is one.
type Result struct {
	Outcome wire.Outcome
	Status  int         // 0 if no complete response arrived
	Header  http.Header // end-to-end headers of the response
	Body    []byte
}

// Client sends calls. Make it with New. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a Client that connects over network. The Client opens a new
// connection for each call, because net/http by itself sends a request with an
// Idempotency-Key again when a reused connection breaks.
func New(network networker.Network) *Client {
	// The timeout for connecting leaves time to try another upstream.
	dialer := networker.TimeoutNetwork{Network: network}
	t := &http.Transport{MaxResponseHeaderBytes: networker.MaxResponseHeadBytes, DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{http: &http.Client{Transport: networker.StatusTransport{Transport: t}, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}
}

// Send sends the call once. On an error, the Result's Outcome still says whether
// the call may have run. The error is ErrNotSent if no connection was made.
func (c *Client) Send(ctx context.Context, call Call) (Result, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, fmt.Errorf("serviceclient: call %s: %w", call.Address, err)
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	req.Header = EndToEnd(call.Header)
	// With Expect, the body would wait for "100 Continue" and be sent late or not
	// at all.
	req.Header.Del("Expect")
	res, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, fmt.Errorf("serviceclient: call %s: %w: %w", call.Address, ErrNotSent, err)
		}
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, fmt.Errorf("serviceclient: call %s: %w", call.Address, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, _maxResponseBytes+1))
	if err == nil && len(body) > _maxResponseBytes {
		err = fmt.Errorf("the body is over %d bytes", _maxResponseBytes)
	}
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, fmt.Errorf("serviceclient: response of %s: %w", call.Address, err)
	}
	header := EndToEnd(res.Header)
	header.Del("Content-Length")
	return Result{Outcome: outcomeOf(res), Status: res.StatusCode, Header: header, Body: body}, nil
}

// outcomeOf returns the outcome that a complete response reports. A call with a
// success status ran, whatever its HeaderOutcome says.
func outcomeOf(res *http.Response) wire.Outcome {
	if res.StatusCode >= http.StatusBadRequest && res.Header.Get(HeaderOutcome) == _outcomeNotRun {
		return wire.Outcome_OUTCOME_NOT_RUN
	}
	return wire.Outcome_OUTCOME_RAN
}
