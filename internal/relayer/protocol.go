package relayer

import (
	"iter"
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Request is what the header of a caller's request says.
type Request struct {
	// ID identifies this attempt of the caller.
	ID  string
	Key string
	// Timeout is how long the caller waits; 0 if the header has none.
	Timeout time.Duration
	Model   string
	// PromptTokens is the length of the prompt, and MaxTokens the maximum length of
	// the output, in tokens; 0 if unknown.
	PromptTokens int
	MaxTokens    int
	// HintTokens is the caller's estimate of the length of the output, in tokens; 0
	// if unknown.
	HintTokens int
	// LastEvent is the id of the last event that the caller received; 0 if it has
	// received none.
	LastEvent uint64
	// SharedParts are the ids of the parts of the prompt that other requests may share, in
	// order; nil if there are none.
	SharedParts iter.Seq[string]
}

// Forward holds the values that are sent to an upstream in addition to the
// caller's header.
type Forward struct {
	// TimeLeft is the time that is left for the request.
	TimeLeft time.Duration
	// Upstream is the id of the upstream.
	Upstream     string
	Organisation string
	// LastEvent is the id of the event after which a resumed stream continues; 0
	// leaves the caller's own value.
	LastEvent uint64
	// Priority is the request's priority at the upstream, from 0, which is served
	// first, to 9.
	Priority int
}

// Response is what the header of an upstream's response says.
type Response struct {
	// ID is the attempt that the response belongs to; empty if the header has none.
	ID string
	// Signed is true if the response has the upstream's signature.
	Signed bool
	// NotRun is true if the upstream did not run the request and never will.
	NotRun bool
	// Encoded is true if a content encoding was applied, so that the body is not the
	// upstream's own bytes.
	Encoded bool
	// FaultyUpstream is the id of the upstream that is at fault; empty if the response
	// names none.
	FaultyUpstream string
	// Leaving is true if the upstream announces that it is leaving.
	Leaving bool
	// Wait is how long the upstream wants no more requests of this process; 0 if it does
	// not say so.
	Wait time.Duration
	// WaitInvalid is true if the response states a wait that can't be read.
	WaitInvalid bool
	// Limit is the number of requests per second that the upstream takes from all processes
	// together, if LimitStated is true. LimitInvalid is true if it states one that can't be
	// read.
	Limit                     float64
	LimitStated, LimitInvalid bool
}

// Protocol reads and writes the headers of callers and upstreams.
type Protocol interface {
	// Request reads the header of a caller's request.
	Request(h http.Header) Request
	// Forward returns the header for an upstream, made from the caller's.
	Forward(h http.Header, f Forward) http.Header
	// Response reads the header of an upstream's response.
	Response(h http.Header) Response
	// IsEventField reports whether upstreams put a field of this name into the events of a
	// stream, besides those of the format of event streams.
	IsEventField(name string) bool
	// Refuse sets the header of a refusal: the caller should retry after the given
	// time.
	Refuse(h http.Header, id string, after time.Duration)
}

// Catalogue is the configuration and the list of upstreams, as this process knows
// them.
type Catalogue interface {
	// Configuration returns the configuration; nil until one is known.
	Configuration() *cataloguer.Configuration
	// Fleet returns the upstreams; nil until their list has been read.
	Fleet() *cataloguer.Fleet
	// IsComplete reports whether all that requests depend on is known.
	IsComplete() bool
	// KnowsEvacuations reports whether the evacuations of data centres are known, or are
	// not read at all.
	KnowsEvacuations() bool
	// ListAge returns the time since the list of upstreams was read.
	ListAge(now time.Time) time.Duration
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
