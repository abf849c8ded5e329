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

// _maxAnswerBytes bounds the answer of a service.
const _maxAnswerBytes = 1 << 20

// HeaderOutcome is set by a service that refused a call before running it.
const HeaderOutcome = "Lb-Outcome"

// _notRun is the value of HeaderOutcome for a call that was not run.
const _notRun = "not-run"

// ErrNotSent says that no connection to the upstream was made, so that no byte
// of the call was sent.
var ErrNotSent = errors.New("call was not sent")

// Call is one call to a service.
type Call struct {
	Method  string
	Path    string // with the query
	Header  http.Header
	Body    []byte
	Address string // the upstream's host:port
}

// Result is what became of a call.
type Result struct {
	Outcome wire.Outcome
	Status  int         // 0 where no whole answer came
	Header  http.Header // end-to-end headers of the answer
	Body    []byte
}

// Client sends calls. Make it with New. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a Client that connects over network. It opens a connection for
// each call: net/http sends a request with an Idempotency-Key again by itself
// when a reused connection breaks.
func New(network networker.Network) *Client {
	// Its bound leaves time to call another upstream.
	dialer := networker.TimeoutNetwork{Network: network}
	t := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{http: &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}
}

// Send sends the call once. With an error, the Result's outcome still says
// whether the call may have run.
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
	// A body that waits for "100 Continue" would be sent late or not at all.
	req.Header.Del("Expect")
	res, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, fmt.Errorf("serviceclient: call %s: %w: %w", call.Address, ErrNotSent, err)
		}
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, fmt.Errorf("serviceclient: call %s: %w", call.Address, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, _maxAnswerBytes+1))
	if err == nil && len(body) > _maxAnswerBytes {
		err = fmt.Errorf("answer is over %d bytes", _maxAnswerBytes)
	}
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, fmt.Errorf("serviceclient: answer of %s: %w", call.Address, err)
	}
	header := EndToEnd(res.Header)
	header.Del("Content-Length")
	return Result{Outcome: outcome(res), Status: res.StatusCode, Header: header, Body: body}, nil
}

// outcome reads what a whole answer says. An answer that reports success ran,
// whatever its header says.
func outcome(res *http.Response) wire.Outcome {
	if res.StatusCode >= http.StatusBadRequest && res.Header.Get(HeaderOutcome) == _notRun {
		return wire.Outcome_OUTCOME_NOT_RUN
	}
	return wire.Outcome_OUTCOME_RAN
}
