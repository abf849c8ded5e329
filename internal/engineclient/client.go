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

// Errors of the engine protocol. Test with errors.Is.
var (
	// ErrFenced says that the engine refused an order whose fencing number is
	// older than one it obeyed before.
	ErrFenced = errors.New("fencing number is old")
	// ErrRefused says that the engine took the call and did not run it.
	ErrRefused = errors.New("engine refused")
)

// _maxStatusBytes bounds the answer of a control call.
const _maxStatusBytes = 64 << 10

// Client makes control calls to engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a Client that connects over network.
func New(network networker.Network) *Client {
	t := &http.Transport{
		DialContext: network.DialContext, MaxIdleConnsPerHost: 2,
		IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	return &Client{http: &http.Client{Transport: t}}
}

// Close drops idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Status asks the instance at address, a host:port, about itself.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: status of %s: %w", address, err)
	}
	return c.exchange(req, "status", address)
}

// Order gives the instance at address an order. ErrFenced says that it obeyed
// a newer one before.
func (c *Client) Order(ctx context.Context, address string, o Order) (Status, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: order to %s: %w", address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: order to %s: %w", address, err)
	}
	return c.exchange(req, "order", address)
}

func (c *Client) exchange(req *http.Request, step, address string) (Status, error) {
	res, err := c.http.Do(req)
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: %s of %s: %w", step, address, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, _maxStatusBytes))
	if err != nil {
		return Status{}, fmt.Errorf("engineclient: %s of %s: %w", step, address, err)
	}
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return Status{}, fmt.Errorf("engineclient: %s of %s: %w", step, address, ErrFenced)
	default:
		return Status{}, fmt.Errorf("engineclient: %s of %s: status %d: %w", step, address, res.StatusCode, ErrRefused)
	}
	var s Status
	if err := json.Unmarshal(body, &s); err != nil {
		return Status{}, fmt.Errorf("engineclient: %s of %s: %w", step, address, err)
	}
	return s, nil
}
