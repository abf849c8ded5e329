package composer

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _fileLook is the time between two looks at the settings file, which may change
// without a signal.
const _fileLook = 5 * time.Second

// Reloader reads the settings again on a signal or when their file has changed,
// and hands them to the services that can take new ones while they run. The zero
// value never reloads.
type Reloader struct {
	// Load reads and checks the settings.
	Load func() (loader.Settings, error)
	// File is the settings file; empty where there is none.
	File string
	// Signals asks for a reload; it may be nil.
	Signals <-chan os.Signal

	mu      sync.Mutex
	apply   []func(s loader.Settings)
	changed time.Time
}

// onReload calls apply with each new settings.
func (r *Reloader) onReload(apply func(s loader.Settings)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply = append(r.apply, apply)
}

// run reloads until ctx ends.
func (r *Reloader) run(ctx context.Context, log logger.Logger) {
	if r.Load == nil {
		return
	}
	r.changed = r.fileTime()
	t := time.NewTicker(_fileLook)
	defer t.Stop()
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		case <-t.C:
			if at := r.fileTime(); at.Equal(r.changed) {
				continue
			}
			reason = "file changed"
		}
		r.changed = r.fileTime()
		r.reload(reason, log)
	}
}

// fileTime returns when the settings file last changed, or a zero time.
func (r *Reloader) fileTime() time.Time {
	if r.File == "" {
		return time.Time{}
	}
	info, err := os.Stat(r.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *Reloader) reload(reason string, log logger.Logger) {
	s, err := r.Load()
	if err != nil {
		log.Failure("reload", err, logger.Fields{"reason": reason, "outcome": "the old settings stay"})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.apply {
		f(s)
	}
	log.Event("reload", logger.Fields{
		"reason": reason, "outcome": "applied", "retry_ratio": s.RetryRatio(), "retry_window": s.RetryWindow(), "retry_slack": s.RetrySlack(),
	})
}
