package composer

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// _filePollInterval is the time between two checks of the settings file, which may
// change without a signal.
const _filePollInterval = 5 * time.Second

// Reloader loads the settings again on a signal or when their file has changed, and
// passes them to the services that can apply new settings while they run. The zero
// value never reloads.
type Reloader struct {
	// Load reads and validates the settings.
	Load func() (loader.Settings, error)
	// File is the path of the settings file; empty if there is none.
	File string
	// Signals receives the signals that ask for a reload; it may be nil.
	Signals <-chan os.Signal

	mu        sync.Mutex
	callbacks []func(s loader.Settings)
	// modTime is the modification time of the file at the last load.
	modTime time.Time
}

// onReload registers a callback for new settings.
func (r *Reloader) onReload(callback func(s loader.Settings)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callbacks = append(r.callbacks, callback)
}

// run reloads the settings on a signal or when their file has changed, until ctx ends.
func (r *Reloader) run(ctx context.Context, log logger.Logger) {
	if r.Load == nil {
		return
	}
	r.modTime = r.fileModTime()
	t := time.NewTicker(_filePollInterval)
	defer t.Stop()
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		case <-t.C:
			if at := r.fileModTime(); at.Equal(r.modTime) {
				continue
			}
			reason = "file changed"
		}
		r.modTime = r.fileModTime()
		r.reload(reason, log)
	}
}

// fileModTime returns the modification time of the settings file, or the zero time if
// there is no file or it can't be examined.
func (r *Reloader) fileModTime() time.Time {
	if r.File == "" {
		return time.Time{}
	}
	info, err := os.Stat(r.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload loads the settings and passes them on; invalid settings change nothing.
func (r *Reloader) reload(reason string, log logger.Logger) {
	s, err := r.Load()
	if err != nil {
		log.Failure("reload", err, logger.Fields{"reason": reason, "outcome": "the previous settings stay in force"})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.callbacks {
		f(s)
	}
	log.Event("reload", logger.Fields{
		"reason": reason, "outcome": "applied", "retry_ratio": s.RetryRatio(), "retry_window": s.RetryWindow(), "retry_slack": s.RetrySlack(),
	})
}
