package recorder

import (
	"context"
	"time"
)

// CheckKey exports checkKey for tests.
func (r *Recorder) CheckKey(ctx context.Context, key string, now time.Time, retention time.Duration) error {
	return r.checkKey(ctx, key, now, retention)
}
