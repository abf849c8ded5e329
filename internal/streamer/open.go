package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// open sends the request, which includes the part already forwarded so that the
// replica continues after it. It checks that the response belongs to this attempt
// and to the generation of the replica.
func (s *Streamer) open(ctx context.Context, r *wire.Replica, q engineclient.ChatRequest, p *Progress, attempt string) (*http.Response, error) {
	q.Stream = true
	if p.tokens > 0 {
		q.Resume = &engineclient.Resume{Text: p.Text(), Tokens: p.tokens}
	}
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	var conn net.Conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn = i.Conn }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.GetAddresses()[0]+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engineclient.HeaderAttempt, attempt)
	req.Header.Set(engineclient.HeaderReplica, r.GetName())
	req.Header.Set(engineclient.HeaderGeneration, strconv.FormatUint(r.GetGeneration(), 10))
	res, err := s.http.Do(req)
	if err != nil && conn == nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if err := checkHead(res, req.Header); err != nil {
		res.Body.Close()
		if errors.Is(err, ErrWrongAttempt) {
			// The engine may run this attempt; the end of its connection stops it.
			conn.Close()
		}
		return nil, err
	}
	return res, nil
}

// checkHead checks that a response belongs to the request with the header sent, and
// that it is no refusal. The attempt comes before the status, since a late copy of the
// refusal of an earlier attempt can come on a kept connection.
func checkHead(res *http.Response, sent http.Header) error {
	matches := func(name string) bool { return res.Header.Get(name) == sent.Get(name) }
	if !matches(engineclient.HeaderAttempt) {
		return fmt.Errorf("status %d: %w", res.StatusCode, ErrWrongAttempt)
	}
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return ErrFull
	case http.StatusConflict:
		return ErrRefused
	default:
		return fmt.Errorf("status %d: %w", res.StatusCode, ErrTruncated)
	}
	if !matches(engineclient.HeaderReplica) || !matches(engineclient.HeaderGeneration) {
		return ErrWrongAttempt
	}
	return nil
}
