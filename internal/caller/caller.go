package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _maxAnswerBytes bounds the answer of a service, so that its record fits the
// platform.
const _maxAnswerBytes = 256 << 10

// HeaderOutcome is set by a service that refused a call before running it.
const HeaderOutcome = "Lb-Outcome"

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
	Outcome     wire.Outcome
	Status      int
	ContentType string
	Body        []byte
}

// Caller sends calls. Make it with New. It is safe for concurrent use.
type Caller struct {
	http *http.Client
}

// New returns a Caller that connects over network. It opens a connection for
// each call, so that no call is lost or sent twice on a connection that the
// service just closed.
func New(network networker.Network) *Caller {
	t := &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Caller{http: &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}
}

// Send sends the call once. With an error, the Result's outcome still says
// whether the call may have run.
func (c *Caller) Send(ctx context.Context, call Call) (Result, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, fmt.Errorf("caller: call %s: %w", call.Address, err)
	}
	// Without GetBody the transport can't send the call a second time.
	req.GetBody = nil
	req.Header = call.Header
	res, err := c.http.Do(req)
	if err != nil {
		outcome := wire.Outcome_OUTCOME_UNKNOWN
		if !connected.Load() {
			outcome = wire.Outcome_OUTCOME_NOT_RUN
		}
		return Result{Outcome: outcome}, fmt.Errorf("caller: call %s: %w", call.Address, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, _maxAnswerBytes+1))
	if err == nil && len(body) > _maxAnswerBytes {
		err = fmt.Errorf("answer is over %d bytes", _maxAnswerBytes)
	}
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN}, fmt.Errorf("caller: answer of %s: %w", call.Address, err)
	}
	r := Result{Outcome: wire.Outcome_OUTCOME_RAN, Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}
	if res.Header.Get(HeaderOutcome) == "not-run" {
		r.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return r, nil
}
