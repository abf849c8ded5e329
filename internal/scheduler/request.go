package scheduler

import (
	"errors"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// Errors of requests that were refused and not run.
var (
	// ErrQueueFull says that the queue holds as many requests as it may.
	ErrQueueFull = errors.New("queue is full")
	// ErrNoReplica says that no replica able to serve the request became
	// available before its deadline.
	ErrNoReplica = errors.New("no replica can serve the model")
	// ErrBusy says that no slot became free before the deadline.
	ErrBusy = errors.New("all replicas are busy")
)

// Request is a request that needs a slot.
type Request struct {
	ID           string // for the decision log
	Organisation string
	// Weight is the share of the organisation relative to others when requests
	// contend; 0 means 1.
	Weight int
	Model  string
	// MaxTokens is the token limit that the caller set; 0 means none.
	MaxTokens int
	// TokensDelivered is how many tokens of the response the caller already has.
	TokensDelivered int
	// Tried holds the replicas that refused this request or failed while serving
	// it.
	Tried map[router.Key]bool
	// Requeued says that the request already held a slot and is queued again.
	Requeued bool
	// Arrived is when the request first arrived; zero means now. A request that
	// is queued again after a refusal keeps it, and so its position.
	Arrived time.Time
	// Deadline is when the request stops waiting; zero means Arrived plus
	// Scheduler.ShortWait or LongWait.
	Deadline time.Time
}

// Outcome is the result of one request's wait: a slot in a replica, or an error.
type Outcome struct {
	id       uint64
	request  Request
	long     bool
	decision router.Decision
	chosen   router.Candidate
	wait     time.Duration
	err      error
}

// ID returns the number that Add returned for the request.
func (o Outcome) ID() uint64 { return o.id }

// Request returns the request.
func (o Outcome) Request() Request { return o.request }

// Long reports whether the response is expected to be long.
func (o Outcome) Long() bool { return o.long }

// Chosen returns the replica that holds the slot; it is meaningless if Err is not
// nil.
func (o Outcome) Chosen() router.Candidate { return o.chosen }

// Decision returns the last routing decision about the request.
func (o Outcome) Decision() router.Decision { return o.decision }

// Wait returns how long the request waited.
func (o Outcome) Wait() time.Duration { return o.wait }

// Err returns why the request was refused, or nil if it has a slot.
func (o Outcome) Err() error { return o.err }
