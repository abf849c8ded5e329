package relayer

import (
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Request is what a caller's header says.
type Request struct {
	// ID names this attempt of the caller.
	ID  string
	Key string
	// Deadline is how long the caller waits; 0 where it doesn't say.
	Deadline time.Duration
	Model    string
	// PromptTokens and MaxTokens are the size of a generation; 0 where unknown.
	PromptTokens int
	MaxTokens    int
	// HintTokens is the caller's estimate of the tokens to come; 0 where unknown.
	HintTokens int
	// LastEvent is the last event that the caller has; 0 at the beginning.
	LastEvent uint64
}

// Forward is what the system tells an upstream besides the caller's header.
type Forward struct {
	Deadline     time.Duration
	Upstream     string
	Organisation string
	// LastEvent is the event after which a resumed stream goes on; 0 leaves the
	// caller's own value.
	LastEvent uint64
	// Priority is the request's rank among others at the upstream, from 0, which is
	// served first, to 9.
	Priority int
}

// Response is what the header of an upstream's answer says.
type Response struct {
	// ID is the attempt that the answer belongs to; empty where it doesn't say.
	ID string
	// Signed says that the answer bears the upstream's signature.
	Signed bool
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Encoded says that the body is not the upstream's own bytes.
	Encoded bool
	// FaultyUpstream is the upstream that is at fault, where the answer names it.
	FaultyUpstream string
}

// Protocol reads and writes the headers of callers and upstreams.
type Protocol interface {
	Request(h http.Header) Request
	Forward(h http.Header, f Forward) http.Header
	Response(h http.Header) Response
	// Refuse tells a caller's client when to come back.
	Refuse(h http.Header, id string, after time.Duration)
}

// Catalogue is what the process knows of the deployment.
type Catalogue interface {
	Configuration() *cataloguer.Configuration
	Fleet() *cataloguer.Fleet
	// ListAge returns the time since the list of upstreams was read.
	ListAge(now time.Time) time.Duration
}
