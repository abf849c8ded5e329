//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// request is what a client sends, and what came back.
type request struct {
	id, path, model, prompt string
	body                    io.Reader
	// length is that of the body.
	length int64
	// deadline is how long the client waits.
	deadline time.Duration

	sentAt time.Time
	// status is that of the answer; 0 if there was none.
	status int
	text   string
	// whole says that the answer has come to its end.
	whole bool
	// leaving says that the answer has Server-Leaving, and took is how long it took.
	leaving bool
	took    time.Duration
	// kept says that the request was sent on a connection that was kept from an earlier one.
	kept bool
	err  error
}

var requestCount atomic.Int64

func newRequest(path string, deadline time.Duration) *request {
	return &request{id: fmt.Sprintf("9c41d07b%08x", requestCount.Add(1)), path: path, deadline: deadline, body: strings.NewReader(""), prompt: ""}
}

func hasPart(r *http.Request, part string) bool {
	return strings.Contains(r.Header.Get("Prompt-Prefix"), part+":")
}

// newClient returns a client that keeps its connections and never repeats a request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 8, DisableCompression: true}}
}

// send sends the request to a machine, and records it with its answer.
func (q *request) send(w *world, client *http.Client, m *machine) {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { q.kept = i.Reused }})
	q.sentAt = time.Now()
	defer func() {
		q.took = time.Since(q.sentAt)
		w.record.add("%s to %s, %s, prompt %q, %d bytes: status %d, whole %t, %q after %d ms, error %v",
			q.id, m.name, q.path, q.prompt, q.length, q.status, q.whole, firstLine(q.text), q.took.Milliseconds(), q.err)
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.callers+q.path, q.body)
	if err != nil {
		q.err = err
		return
	}
	r.ContentLength, r.GetBody, r.Host = q.length, nil, host
	r.Header.Set("Attempt-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	if q.model != "" {
		r.Header.Set("Model", q.model)
		r.Header.Set("Token-Usage", "1460,12")
		r.Header.Set("Prompt-Prefix", q.prompt)
	}
	res, err := client.Do(r)
	if err != nil {
		q.err = err
		return
	}
	defer res.Body.Close()
	q.status, q.leaving = res.StatusCode, res.Header.Get("Server-Leaving") != ""
	text, err := io.ReadAll(res.Body)
	q.text, q.err, q.whole = string(text), err, err == nil
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line[:min(len(line), 60)]
}
