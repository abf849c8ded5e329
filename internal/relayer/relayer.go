package relayer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/admitter"
	"github.com/lycheebarrow/lycheebarrow/internal/balancer"
	"github.com/lycheebarrow/lycheebarrow/internal/budgeter"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/forwarder"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/quarantiner"
	"github.com/lycheebarrow/lycheebarrow/internal/reserver"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
	"github.com/lycheebarrow/lycheebarrow/internal/sharer"
)

// Meter records the metrics of requests.
type Meter interface {
	// CountRequest counts a finished request by its outcome.
	CountRequest(organisation, outcome string)
	// ObserveFirstToken records the time from the arrival of a request to the first event
	// of its stream.
	ObserveFirstToken(organisation string, after time.Duration)
	// CountRefusal counts a refused request by its reason.
	CountRefusal(code string)
	// CountInvalidWait counts a response that asks to wait for a time that can't be read.
	CountInvalidWait()
	// CountInvalidLimit counts a response that states a limit that can't be read.
	CountInvalidLimit()
}

// Relayer is the HTTP handler for the requests of callers. Set its exported fields
// before use. Meter may be nil.
type Relayer struct {
	Catalogue Catalogue
	Protocol  Protocol
	Pool      *forwarder.Pool
	Balancer  *balancer.Balancer
	// Screener decides which upstreams may take requests.
	Screener   *screener.Screener
	Budget     *budgeter.Budget
	Log        logger.Logger
	Meter      Meter
	DataCentre string
	Watchdog   *Watchdog
	// StartsUntil is when this process should know the configuration and the list of
	// upstreams. Until then a request waits for them for a moment.
	StartsUntil time.Time
	// CallerShare returns the fraction of all callers that this process serves, from
	// 0 to 1. It may be nil if there are no other processes.
	CallerShare func() float64

	// Quarantine keeps prompts that crash upstreams from being sent.
	Quarantine quarantiner.Quarantiner

	// models maps each sharer.ModelKey to its *modelState.
	models    sync.Map
	attempts  admitter.RouteAttempts
	totalLoad atomic.Pointer[sharer.TotalLoad]

	// Bodies bounds the memory of callers' request bodies.
	Bodies reserver.Reserver
	// Responses bounds the memory of responses that are read whole before they are passed on.
	Responses reserver.Reserver

	// requests counts the requests that were read whole and passed authentication.
	requests atomic.Int64
	arrivals rateMeter
	// drain is nil until the process shuts down.
	drain atomic.Pointer[Shutdown]
	open  requestSet
}

// TrafficStarted returns true once a request has been read whole and has passed
// authentication.
func (s *Relayer) TrafficStarted() bool { return s.requests.Load() > 0 }

// RequestRate returns the rate of requests that this process receives, per second,
// as a moving average with a time constant of 10 s.
func (s *Relayer) RequestRate() float64 { return s.arrivals.rate(time.Now()) }

// ServeHTTP serves one request.
func (s *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	s.open.add(&c.progress)
	defer s.open.remove(&c.progress)
	defer c.logEnd()
	defer c.releaseBody()
	defer c.cancel(nil)
	if s.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if !c.prepare() || c.refuseDraining() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(c.ctx, c.deadline, errTimeout)
	defer cancel()
	c.ctx = ctx
	if c.route.Kind == cataloguer.KindStream {
		if c.refuseQuarantined() {
			return
		}
		done, ok := c.admit()
		if !ok {
			return
		}
		defer done()
		c.relayStream()
		return
	}
	c.relayPlain()
}

// Causes with which the context of a request or of a send is cancelled.
var (
	errTimeout = errors.New("relayer: request deadline exceeded")
	errSilent  = errors.New("relayer: upstream stopped sending data")
)
