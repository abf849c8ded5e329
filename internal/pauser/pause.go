package pauser

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends. It returns false if ctx ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
