package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a call was executed.
type Outcome string

// Outcomes of a call.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Problem is the error response to a call that was refused or failed. The zero value is not
// usable, since Write requires a Status.
type Problem struct {
	Status  int     `json:"-"` // HTTP status
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	// Remedy says what the caller or the operator can do.
	Remedy string `json:"mend"`
	// RetryAfter is the time after which a retry may succeed, rounded up to whole seconds
	// when it is sent; 0 means that a retry can't help.
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"request_id,omitempty"`
}

// Error returns the code followed by the message.
func (p *Problem) Error() string { return p.Code + ": " + p.Message }

// errorBody is the JSON form that clients of the OpenAI API understand.
type errorBody struct {
	Error struct {
		*Problem
		Type string `json:"type"`
	} `json:"error"`
}

// JSON returns the problem as the body of a response. The type is server_error for status 429
// and for 500 and above, and invalid_request_error otherwise.
func (p *Problem) JSON() []byte {
	var b errorBody
	b.Error.Problem = p
	b.Error.Type = "invalid_request_error"
	if p.Status >= http.StatusInternalServerError || p.Status == http.StatusTooManyRequests {
		b.Error.Type = "server_error"
	}
	data, _ := json.Marshal(b)
	return data
}

// Write sends the problem as the response.
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
