package reader

import (
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _outageAfter is how long no read was answered before the platform counts as
// away.
const _outageAfter = 3 * time.Second

// OutageLogger logs once when the platform goes away and once when it is back. The
// zero value logs nothing. It is safe for concurrent use.
type OutageLogger struct {
	// Log receives the events. Set it before use.
	Log logger.Logger

	mu    sync.Mutex
	since time.Time
	away  bool
}

// ReadFailed notes a read that got no answer.
func (o *OutageLogger) ReadFailed(err error, now time.Time) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = now
	}
	if !o.away && now.Sub(o.since) >= _outageAfter {
		o.away = true
		o.Log.Failure("platform-away", err, nil)
	}
}

// ReadAnswered notes a read that got an answer.
func (o *OutageLogger) ReadAnswered(now time.Time) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.away {
		o.Log.Event("platform-back", logger.Fields{"away_s": int(now.Sub(o.since).Seconds())})
	}
	o.since, o.away = time.Time{}, false
}
