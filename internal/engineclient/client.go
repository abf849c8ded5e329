package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/google/uuid"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// Errors of a control call. Test with errors.Is.
var (
	// ErrFenced says that the engine refused an order because it obeyed an order
	// with a higher fencing number before.
	ErrFenced = errors.New("fencing number is lower than one obeyed before")
	// ErrRefused says that the engine answered with an HTTP status other than 200
	// and 409 and did not run the call.
	ErrRefused = errors.New("engine refused")
)

// _maxStatusBytes limits how much of the answer to a control call is read.
const _maxStatusBytes = 64 << 10

// errWrongCall says that a response on a kept connection may belong to an earlier call.
var errWrongCall = errors.New("response belongs to another call")

// Client makes control calls to engines. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections. single opens one for each call: on a reused one, a late copy
	// of an earlier response could pass for the outcome of an order.
	pooled, single *http.Client
}

// New returns a Client that connects over network.
func New(network networker.Network) *Client {
	t := &http.Transport{
		MaxResponseHeaderBytes: networker.MaxResponseHeadBytes, DialContext: network.DialContext, MaxIdleConnsPerHost: 2,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	single := t.Clone()
	single.DisableKeepAlives = true
	return &Client{
		pooled: &http.Client{Transport: networker.StatusTransport{Transport: t}},
		single: &http.Client{Transport: networker.StatusTransport{Transport: single}},
	}
}

// Close closes idle connections. It never fails.
func (c *Client) Close() error {
	c.pooled.CloseIdleConnections()
	return nil
}

// Status requests the status of the instance at address, a host:port.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	s, err := requestStatus(ctx, c.pooled, address)
	if errors.Is(err, errWrongCall) {
		s, err = requestStatus(ctx, c.single, address)
	}
	return s, err
}

// requestStatus makes one status call. A response without the id of the call is accepted
// only as the first one on its connection, since a later one may be a copy of an earlier
// status. The connection is closed then.
func requestStatus(ctx context.Context, client *http.Client, address string) (Status, error) {
	var connection httptrace.GotConnInfo
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { connection = i }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: status call to %s: %w", address, err)
	}
	id := uuid.NewString()
	req.Header.Set(HeaderAttempt, id)
	res, err := client.Do(req)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: status call to %s: %w", address, err)
	}
	defer res.Body.Close()
	if res.Header.Get(HeaderAttempt) != id {
		defer connection.Conn.Close()
		if connection.Reused {
			return Status{}, fmt.Errorf("engineclient: status call to %s: %w", address, errWrongCall)
		}
	}
	return readStatus(res, "status", address)
}

// Order sends o to the instance at address, a host:port, and returns the
// instance's status. The error is ErrFenced if the instance obeyed an order with
// a higher fencing number before.
func (c *Client) Order(ctx context.Context, address string, o Order) (Status, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: order call to %s: %w", address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: order call to %s: %w", address, err)
	}
	res, err := c.single.Do(req)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: order call to %s: %w", address, err)
	}
	defer res.Body.Close()
	return readStatus(res, "order", address)
}

// readStatus decodes the status that answers a control call; step names the call in
// errors.
func readStatus(res *http.Response, step, address string) (Status, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, _maxStatusBytes))
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: %s call to %s: %w", step, address, err)
	}
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return Status{}, fmt.Errorf("engineclient: %s call to %s: %w", step, address, ErrFenced)
	default:
		return Status{}, fmt.Errorf("engineclient: %s call to %s: status %d: %w", step, address, res.StatusCode, ErrRefused)
	}
	var s Status
	if err := json.Unmarshal(body, &s); err != nil {
		return Status{}, fmt.Errorf("engineclient: %s call to %s: %w", step, address, err)
	}
	return s, nil
}
