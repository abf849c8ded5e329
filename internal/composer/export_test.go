package composer

import (
	"net/http"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
)

// Evidence exports evidence for tests.
type Evidence = evidence

// SetDepartures sets the source of departures that peers report.
func (e *evidence) SetDepartures(d departureSource) { e.departures = d }

// ReaderState is readerState with exported fields.
type ReaderState struct {
	Leading, Reads, Follows, Busy bool
	Instances                     int
	Longest                       time.Duration
}

func (s ReaderState) state() readerState {
	return readerState{leading: s.Leading, reads: s.Reads, follows: s.Follows, busy: s.Busy, instances: s.Instances, longest: s.Longest}
}

// ListDelay exports readerState.listDelay to the tests.
func (s ReaderState) ListDelay() time.Duration { return s.state().listDelay() }

// ConfigurationDelay exports readerState.configurationDelay to the tests.
func (s ReaderState) ConfigurationDelay() time.Duration { return s.state().configurationDelay() }

// Counter exports counter to the tests.
type Counter = counter

// RetrySlack exports retrySlack to the tests.
func RetrySlack(total float64, c Counter, s *budgeter.Share, now time.Time) float64 {
	return retrySlack(total, c, s, now)
}

// NewServer exports newServer to the tests.
func NewServer(h http.Handler) *http.Server { return newServer(h) }
