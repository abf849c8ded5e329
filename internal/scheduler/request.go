package scheduler

import (
	"errors"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/router"
)

// Errors of an Outcome; the request was not run.
var (
	// ErrQueueFull says that too many requests wait.
	ErrQueueFull = errors.New("queue is full")
	// ErrNoReplica says that no replica that could serve the request turned up
	// in time.
	ErrNoReplica = errors.New("no replica can serve the model")
	// ErrBusy says that the replicas had no room in time.
	ErrBusy = errors.New("all replicas are busy")
)

// Request is a request that needs a place.
type Request struct {
	ID           string // for the decision log
	Organisation string
	// Weight is the organisation's part of a contended group; 0 means 1.
	Weight int
	Model  string
	// MaxTokens is the limit that the caller asked for; 0 means none.
	MaxTokens int
	// TokensDelivered is how many tokens of the answer the caller has already.
	TokensDelivered int
	// Tried holds replicas that refused or broke this request before.
	Tried map[router.Key]bool
	// Requeued says that the request had a place before and comes back.
	Requeued bool
	// Arrived is when the request first came; zero means now. One that comes back
	// after a refusal keeps its turn.
	Arrived time.Time
	// Deadline is when waiting ends; zero means after the scheduler's wait for
	// short or long work.
	Deadline time.Time
}

// Outcome ends the wait of one request: with a place in a replica, or with an
// error.
type Outcome struct {
	id       uint64
	request  Request
	long     bool
	decision router.Decision
	chosen   router.Candidate
	wait     time.Duration
	err      error
}

// ID returns the number that Add gave.
func (o Outcome) ID() uint64 { return o.id }

// Request returns the request.
func (o Outcome) Request() Request { return o.request }

// Long says that the answer is expected to be long.
func (o Outcome) Long() bool { return o.long }

// Chosen returns the replica with the place; it means nothing where Err is not
// nil.
func (o Outcome) Chosen() router.Candidate { return o.chosen }

// Decision returns the last routing decision about the request.
func (o Outcome) Decision() router.Decision { return o.decision }

// Wait returns how long the request waited.
func (o Outcome) Wait() time.Duration { return o.wait }

// Err returns why the request was refused, nil where it has a place.
func (o Outcome) Err() error { return o.err }
