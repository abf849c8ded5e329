//go:build review3

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// answer is how a request ended.
type answer struct {
	kind   kind
	sentAt time.Time
	served bool
}

// served returns how many requests were sent in a time, and how many of them were served.
func (w *world) served(from, to time.Time) (sent, served int) {
	for _, k := range kinds {
		n, ok := w.servedKind(k, from, to)
		sent, served = sent+n, served+ok
	}
	return sent, served
}

// servedKind is served for a kind of request.
func (w *world) servedKind(k kind, from, to time.Time) (sent, served int) {
	w.resultsMu.Lock()
	defer w.resultsMu.Unlock()
	for _, a := range w.answers {
		if a.kind != k || a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		sent++
		if a.served {
			served++
		}
	}
	return sent, served
}

// kind is a kind of request. Its requests ask for one model, and their prompts begin with a part
// that all of them share, as in the example of PROTOCOL.md.
type kind struct{ path, model, first string }

var kinds = []kind{{"/draft/", "large", "5c1e07a2"}, {"/summary/", "small", "c07d11e8"}}

// subjects is the number of subjects, whose requests share the second part of their prompts.
const subjects = 40

// request is what a caller sends. A prompt that is alone shares no part with others.
type request struct {
	kind  kind
	alone bool
}

// send sends one stream and records its result. It returns how long a refusal tells the caller to
// wait, which callers honour up to a third of their time.
func (w *world) send(ctx context.Context, client *http.Client, m *machine, q request) time.Duration {
	w.resultsMu.Lock()
	w.requests++
	id := fmt.Sprintf("%016x", w.requests)
	w.resultsMu.Unlock()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+q.kind.path+"x", nil)
	r.Host = "h.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer a-key")
	r.Header.Set("Model", q.kind.model)
	r.Header.Set("Token-Usage", "1460,174")
	r.Header.Set("Prompt-Prefix", id[8:]+":1460")
	if !q.alone {
		r.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:800,91bd3f%02x:410,%s:250", q.kind.first, rand.IntN(subjects), id[8:]))
	}
	r.Header.Set("Deadline-Ms", "8000")
	result, wait, sentAt := "", time.Duration(0), time.Now()
	res, err := client.Do(r)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		result, wait = "no answer", 200*time.Millisecond
	} else {
		defer res.Body.Close()
		result = fmt.Sprint(res.StatusCode)
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(s*float64(time.Second)), 8*time.Second/3)
		}
		if res.StatusCode == 200 {
			result += " " + checkStream(id, res.Body)
		}
	}
	if ctx.Err() != nil {
		return 0
	}
	w.resultsMu.Lock()
	w.results[result]++
	w.answers = append(w.answers, answer{kind: q.kind, sentAt: sentAt, served: result == "200 whole"})
	w.resultsMu.Unlock()
	return wait
}

// checkStream returns what a stream is: "whole", or why it is not.
func checkStream(id string, body io.Reader) string {
	next, wrong := 1, ""
	s := bufio.NewScanner(body)
	for s.Scan() {
		switch line := s.Text(); line {
		case "":
		case fmt.Sprintf("id: %d", next):
		case fmt.Sprintf("data: %s-%d", id, next):
			next++
		default:
			wrong = "with bytes that are no event"
		}
	}
	switch {
	case s.Err() != nil:
		return "cut"
	case wrong != "":
		return wrong
	case next != 30:
		return fmt.Sprintf("ends after %d events", next-1)
	}
	return "whole"
}

// resultText returns the results of the requests so far.
func (w *world) resultText() string {
	w.resultsMu.Lock()
	defer w.resultsMu.Unlock()
	return fmt.Sprint(w.results)
}
