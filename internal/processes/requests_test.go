package processes_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"

	"github.com/lycheebarrow/lycheebarrow/internal/standin"
)

// answer is the result of a request as the caller sees it.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

func (d *deployment) sendRequest(entry, method, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+d.addresses[entry]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+_callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// A new connection for each request, as from a load balancer.
	req.Close = true
	return http.DefaultClient.Do(req)
}

func (d *deployment) call(entry, key string) answer {
	res, err := d.sendRequest(entry, http.MethodPost, "/services/lodgement/lodge", key, "fee=1")
	return readAnswer(res, err)
}

// chat sends a streamed chat request and reads the whole answer. It calls
// onFirstByte, if not nil, after the first byte.
func (d *deployment) chat(entry, prompt string, onFirstByte func()) answer {
	body := fmt.Sprintf(`{"model":"form-assistant","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	res, err := d.sendRequest(entry, http.MethodPost, "/v1/chat/completions", "", body)
	if err == nil && res.StatusCode == http.StatusOK && onFirstByte != nil {
		first := make([]byte, 1)
		if _, err := io.ReadFull(res.Body, first); err == nil {
			onFirstByte()
			rest := res.Body
			res.Body = struct {
				io.Reader
				io.Closer
			}{io.MultiReader(bytes.NewReader(first), rest), rest}
		}
	}
	return readAnswer(res, err)
}

func readAnswer(res *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, outcome: res.Header.Get("Lb-Outcome"), body: string(text), err: err}
}

// isWhole reports whether the answer is complete and is the expected one for the prompt.
func (a answer) isWhole(prompt string) bool {
	if a.err != nil || a.status != http.StatusOK || !strings.Contains(a.body, "data: [DONE]") {
		return false
	}
	var text strings.Builder
	for line := range strings.Lines(a.body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return text.String() == strings.Join(standin.ExpectedTokens(prompt, 0), "")
}

// wasNotRun reports whether the answer shows that the request was not run, so that
// another entry may be tried.
func wasNotRun(a answer) bool {
	return errors.Is(a.err, syscall.ECONNREFUSED) || a.status == http.StatusServiceUnavailable && a.outcome == "not-run"
}

// String formats the answer for messages of failed tests.
func (a answer) String() string {
	return fmt.Sprintf("status %d, outcome %q, error %v, body %q", a.status, a.outcome, a.err, a.body)
}
