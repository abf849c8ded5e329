package lycheebarrow

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// _maxAnswerBytes is the length in bytes at which an answer of the operator API is
// cut off.
const _maxAnswerBytes = 16 << 20

// Errors of a call without an answer, to be tested with errors.Is.
var (
	// ErrUnreachable means that no connection to the process could be opened, or
	// that a call that only reads got no answer. Nothing was changed.
	ErrUnreachable = errors.New("process unreachable")
	// ErrUncertain means that a patch may have been sent and got no answer: it may
	// or may not be in force. Send it again with the same id.
	ErrUncertain = errors.New("outcome unknown")
)

// Change is one accepted patch.
type Change struct {
	Number         string        `json:"number"`
	PatchID        string        `json:"patch_id"`
	Author         string        `json:"author"`
	Reason         string        `json:"reason"`
	AcceptedUnixMS string        `json:"accepted_unix_ms"`
	Values         []ValueChange `json:"values"`
}

// ValueChange is one changed value. Before and After are JSON text, empty if the
// value is absent.
type ValueChange struct {
	Path   string `json:"path"` // JSON pointer, RFC 6901
	Before string `json:"before"`
	After  string `json:"after"`
}

// Configuration is the configuration that is in force in a process, with its latest
// changes.
type Configuration struct {
	Number   string   `json:"number"`
	Document string   `json:"document"` // JSON text
	Recent   []Change `json:"recent"`   // oldest first
}

// Patch is a change to the configuration that an operator requests.
type Patch struct {
	ID     string          `json:"patch_id"`
	Base   uint64          `json:"base"` // number of the configuration that the patch is based on
	Author string          `json:"author"`
	Reason string          `json:"reason"`
	Merge  json.RawMessage `json:"patch"` // JSON merge patch, RFC 7396
}

// ErrNoAddress means that the Address of a Client is empty. Nothing was sent.
var ErrNoAddress = errors.New("no address of an operator API")

// APIError is an answer of the operator API with a status other than 200.
type APIError struct {
	Status int             // HTTP status
	Body   json.RawMessage // body of the answer
}

// Error returns the status and the body of the answer.
func (e *APIError) Error() string {
	return fmt.Sprintf("lycheebarrow: the operator API refused (status %d): %s", e.Status, e.Body)
}

// Client calls the operator API of one process. Set Address and Token before use. It
// is safe for concurrent use.
type Client struct {
	Address string // host:port
	Token   string
	HTTP    *http.Client // nil means http.DefaultClient
}

// Configuration reads the configuration that is in force in the process, and its
// latest changes.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var out Configuration
	return out, c.call(ctx, http.MethodGet, "configuration", nil, &out)
}

// Patch changes the configuration. A patch that is sent again with the same id is
// not applied again; Patch returns the result of the first time.
func (c *Client) Patch(ctx context.Context, p Patch) (Change, error) {
	var out Change
	body, err := json.Marshal(p)
	if err != nil {
		return out, fmt.Errorf("lycheebarrow: encode the patch: %w", err)
	}
	return out, c.call(ctx, http.MethodPost, "configuration", body, &out)
}

// Read reads any other page of the operator API, such as "placements".
func (c *Client) Read(ctx context.Context, page string) (json.RawMessage, error) {
	var out json.RawMessage
	return out, c.call(ctx, http.MethodGet, page, nil, &out)
}

// call sends a request to a page of the operator API and decodes the JSON of the
// answer into result.
func (c *Client) call(ctx context.Context, method, page string, body []byte, result any) error {
	if c.Address == "" {
		return fmt.Errorf("lycheebarrow: %s: %w", page, ErrNoAddress)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+"/operator/v1/"+page, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("lycheebarrow: %s at %s: %w", page, c.Address, err)
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(c.Token))
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	res, err := h.Do(req)
	if err != nil {
		return fmt.Errorf("lycheebarrow: %s at %s: %w: %w", page, c.Address, errorWithoutAnswer(method, err), err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, _maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("lycheebarrow: %s at %s: %w: %w", page, c.Address, errorWithoutAnswer(method, err), err)
	}
	if res.StatusCode != http.StatusOK {
		return &APIError{Status: res.StatusCode, Body: text}
	}
	if err := json.Unmarshal(text, result); err != nil {
		return fmt.Errorf("lycheebarrow: %s at %s: %w", page, c.Address, err)
	}
	return nil
}

// errorWithoutAnswer returns ErrUnreachable or ErrUncertain for a call that failed
// with err before its whole answer arrived.
func errorWithoutAnswer(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return ErrUnreachable
	}
	return ErrUncertain
}
