package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// Errors of the object API. Test with errors.Is.
var (
	// ErrNotFound says that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object changed since the given version, or that
	// the key to create exists; nothing was written.
	ErrConflict = errors.New("object changed")
	// ErrUnavailable says that the platform could not be reached or did not
	// complete the call; nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUncertain says that a write was sent, but that no response came or the
	// response did not tell the outcome: the write may or may not have taken effect.
	// Read the object back before deciding what to do next.
	ErrUncertain = errors.New("write outcome unknown")
	// ErrUnchanged says that a watch ended before the object had a newer version.
	ErrUnchanged = errors.New("object unchanged")
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// _callTimeout limits each call; for a watch, the waiting time is added to it.
const _callTimeout = 2 * time.Second

// Object is an object in the platform's store.
type Object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Instance is an entry of the platform's list of live and leaving instances,
// which may be out of date.
type Instance struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // host:port whose host is an IP address
	DataCentre string `json:"data_centre"`
	Domain     string `json:"domain"` // fabric domain
	Leaving    bool   `json:"leaving"`
	Kind       string `json:"kind"` // "engine" or "service"
	// ChecksFencing says that the instance's engine refuses an order whose
	// fencing number is lower than that of an order obeyed before.
	ChecksFencing bool `json:"checks_fencing"`
}

// Meter counts the calls to the platform.
type Meter interface {
	// CountPlatformCall counts a call, such as "get" or "update"; processed is false if the
	// call failed, for example with status 429 or 5xx.
	CountPlatformCall(call string, processed bool)
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	// Meter may be nil. Set it before use.
	Meter Meter

	base string
	http *http.Client
}

// New returns a Client of the platform whose URL is base, such as
// "http://127.0.0.1:9000", that connects over network.
func New(base string, network networker.Network) *Client {
	t := &http.Transport{MaxResponseHeaderBytes: networker.MaxResponseHeadBytes, DialContext: network.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: networker.StatusTransport{Transport: t}}}
}

// Close closes idle connections. It never fails.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Get reads the object with the given key.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	return c.read(ctx, "get", key, "")
}

// Watch waits until the object's version is above after and returns the object,
// or ErrUnchanged if that takes longer than wait. A missing object has version 0.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+_callTimeout)
	defer cancel()
	q := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return c.read(ctx, "watch", key, q)
}

// List reads every object whose key starts with prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var out struct {
		Objects []Object `json:"objects"`
	}
	err := c.list(ctx, "/objects?prefix="+url.QueryEscape(prefix), &out)
	return out.Objects, err
}

// Instances reads the list of live and leaving instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var out struct {
		Instances []Instance `json:"instances"`
	}
	err := c.list(ctx, "/instances", &out)
	return out.Instances, err
}

// Create writes a new object and returns its version. The error is ErrConflict
// if the key exists.
func (c *Client) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return c.write(ctx, http.MethodPut, key, value, "If-None-Match", "*")
}

// Update replaces the object's value if its version is still the given one, and
// returns the new version. The error is ErrConflict if the version differs.
func (c *Client) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	return c.write(ctx, http.MethodPut, key, value, "If-Match", etag(version))
}

// Delete removes the object if its version is still the given one. The error is
// ErrConflict if the version differs.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, "If-Match", etag(version))
	return err
}

func (c *Client) read(ctx context.Context, step, key, query string) (Object, error) {
	res, err := c.do(ctx, http.MethodGet, "/objects/"+key+query, nil, "", "")
	if err != nil {
		return Object{}, fmt.Errorf("storer: %s %s at %s: %w: %w", step, key, c.base, ErrUnavailable, err)
	}
	defer res.Body.Close()
	if err := readError(res.StatusCode); err != nil {
		return Object{}, fmt.Errorf("storer: %s %s at %s: status %d: %w", step, key, c.base, res.StatusCode, err)
	}
	value, err := io.ReadAll(io.LimitReader(res.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, fmt.Errorf("storer: %s %s at %s: %w: %w", step, key, c.base, ErrUnavailable, err)
	}
	if len(value) > MaxValueBytes {
		return Object{}, fmt.Errorf("storer: %s %s at %s: value is over the platform's limit of %d bytes: %w", step, key, c.base, MaxValueBytes, ErrUnavailable)
	}
	version, err := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Object{}, fmt.Errorf("storer: %s %s at %s: ETag holds no version: %w", step, key, c.base, ErrUnavailable)
	}
	return Object{Key: key, Version: version, Value: value}, nil
}

func (c *Client) list(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	res, err := c.do(ctx, http.MethodGet, path, nil, "", "")
	if err != nil {
		return fmt.Errorf("storer: list %s at %s: %w: %w", path, c.base, ErrUnavailable, err)
	}
	defer res.Body.Close()
	if err := readError(res.StatusCode); err != nil {
		return fmt.Errorf("storer: list %s at %s: status %d: %w", path, c.base, res.StatusCode, err)
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return fmt.Errorf("storer: list %s at %s: %w: %w", path, c.base, ErrUnavailable, err)
	}
	return nil
}

func (c *Client) write(ctx context.Context, method, key string, value []byte, conditionHeader, condition string) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("storer: write %s: value of %d bytes is over the platform's limit of %d bytes", key, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	res, err := c.do(ctx, method, "/objects/"+key, value, conditionHeader, condition)
	if err != nil && !connected.Load() {
		return 0, fmt.Errorf("storer: write %s at %s: %w: %w", key, c.base, ErrUnavailable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("storer: write %s at %s: %w: %w", key, c.base, ErrUncertain, err)
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, MaxValueBytes))
	if err := writeError(res.StatusCode); err != nil {
		return 0, fmt.Errorf("storer: write %s at %s: status %d: %w", key, c.base, res.StatusCode, err)
	}
	if method == http.MethodDelete {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("storer: write %s at %s: ETag holds no version: %w", key, c.base, ErrUncertain)
	}
	return version, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, conditionHeader, condition string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// With GetBody, the transport may repeat a request whose connection broke. A
	// repeated write would turn a success into a conflict.
	req.GetBody = nil
	if conditionHeader != "" {
		req.Header.Set(conditionHeader, condition)
	}
	res, err := c.http.Do(req)
	if c.Meter != nil {
		c.Meter.CountPlatformCall(callName(method, path, conditionHeader), err == nil && processed(res.StatusCode))
	}
	return res, err
}

// callName returns the name of a call in the metrics.
func callName(method, path, conditionHeader string) string {
	switch {
	case strings.HasPrefix(path, "/instances"):
		return "instances"
	case strings.HasPrefix(path, "/objects?"):
		return "list"
	case method == http.MethodGet && strings.Contains(path, "wait_ms="):
		return "watch"
	case method == http.MethodGet:
		return "get"
	case method == http.MethodDelete:
		return "delete"
	case conditionHeader == "If-None-Match":
		return "create"
	default:
		return "update"
	}
}

// processed reports whether the platform processed the call; status 429 and 5xx
// say that it did not.
func processed(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// readError returns the error of a read that the platform answered with status,
// nil if it succeeded.
func readError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return ErrUnavailable
	}
}

// writeError returns the error of a write that the platform answered with
// status, nil if it succeeded. A status that doesn't tell whether the write took
// effect gives ErrUncertain.
func writeError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	if RejectsCall(status) {
		return ErrUnavailable
	}
	return ErrUncertain
}

// RejectsCall reports whether a status says that the platform did not carry out the
// call because of the call itself, such as 400 or 403.
func RejectsCall(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout
}

// etag returns version in the form of an ETag.
func etag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}
