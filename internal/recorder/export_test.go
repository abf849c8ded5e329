package recorder

import (
	"context"
	"time"
)

// Admit opens the check of keys.
func (r *Recorder) Admit(ctx context.Context, key string, now time.Time, retention time.Duration) error {
	return r.admit(ctx, key, now, retention)
}
