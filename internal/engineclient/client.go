package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

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

// Client makes control calls to engines. It is safe for concurrent use.
type Client struct {
	// status keeps connections. orders opens one for each order, since a late copy of a
	// status on a kept one would pass for the outcome of the order.
	status, orders *http.Client
}

// New returns a Client that connects over network.
func New(network networker.Network) *Client {
	t := &http.Transport{
		MaxResponseHeaderBytes: networker.MaxResponseHeadBytes, DialContext: network.DialContext, MaxIdleConnsPerHost: 2,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	unkept := t.Clone()
	unkept.DisableKeepAlives = true
	return &Client{status: &http.Client{Transport: t}, orders: &http.Client{Transport: unkept}}
}

// Close closes idle connections. It never fails.
func (c *Client) Close() error {
	c.status.CloseIdleConnections()
	return nil
}

// Status requests the status of the instance at address, a host:port.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: status call to %s: %w", address, err)
	}
	return exchange(c.status, req, "status", address)
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
	return exchange(c.orders, req, "order", address)
}

// exchange sends a control call and decodes the status that answers it; step
// names the call in errors.
func exchange(client *http.Client, req *http.Request, step, address string) (Status, error) {
	res, err := client.Do(req)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: %s call to %s: %w", step, address, err)
	}
	defer res.Body.Close()
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
