package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a call ran.
type Outcome string

// Outcomes of a call.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Problem is a refusal. The zero value is not useful.
type Problem struct {
	Status  int     `json:"-"` // HTTP status
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	Remedy  string  `json:"mend"`
	// RetryAfter is rounded up to whole seconds; 0 means that a retry can't
	// help.
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"request_id,omitempty"`
}

// Error returns the message with its code.
func (p *Problem) Error() string { return p.Code + ": " + p.Message }

// body is the form that clients of the OpenAI API understand.
type body struct {
	Error struct {
		*Problem
		Type string `json:"type"`
	} `json:"error"`
}

// JSON returns the problem as the body of an answer.
func (p *Problem) JSON() []byte {
	var b body
	b.Error.Problem = p
	b.Error.Type = "invalid_request_error"
	if p.Status >= http.StatusInternalServerError || p.Status == http.StatusTooManyRequests {
		b.Error.Type = "server_error"
	}
	text, _ := json.Marshal(b)
	return text
}

// Write sends the problem as an answer.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Lb-Outcome", string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(p.JSON(), '\n'))
}
