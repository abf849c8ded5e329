package reader

import (
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _outageThreshold is how long reads must go unanswered before the platform
// counts as unavailable.
const _outageThreshold = 3 * time.Second

// OutageLogger logs once when the platform becomes unavailable and once when it is
// available again. The zero value logs nothing, and neither does a nil pointer.
// An OutageLogger is safe for concurrent use.
type OutageLogger struct {
	// Log receives the events. Set it before use.
	Log logger.Logger

	mu           sync.Mutex
	failingSince time.Time // first failure since the last answered read, or zero
	unavailable  bool
}

// ReadFailed records a read that got no answer, and logs the start of an outage
// once reads have failed for _outageThreshold.
func (o *OutageLogger) ReadFailed(err error, now time.Time) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failingSince.IsZero() {
		o.failingSince = now
	}
	if !o.unavailable && now.Sub(o.failingSince) >= _outageThreshold {
		o.unavailable = true
		o.Log.Failure("platform-away", err, nil)
	}
}

// ReadAnswered records a read that got an answer, and logs the end of an outage.
func (o *OutageLogger) ReadAnswered(now time.Time) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		o.Log.Event("platform-back", logger.Fields{"outage_s": int(now.Sub(o.failingSince).Seconds())})
	}
	o.failingSince, o.unavailable = time.Time{}, false
}
