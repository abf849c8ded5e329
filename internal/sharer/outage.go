package sharer

import (
	"context"
	"errors"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
)

// recordRead records the result of a read from the platform. The caller holds the sharer's
// lock.
func (x *Source) recordRead(err error) {
	if err != nil && !errors.Is(err, reflector.ErrCompacted) {
		x.unavailable, x.failedAt = true, time.Now()
		return
	}
	if x.unavailable {
		x.sharer.notifyRecovered()
	}
	x.unavailable, x.failedAt = false, time.Time{}
}

// isUnavailable reports whether the last read from the platform has failed.
func (x *Source) isUnavailable() bool {
	x.sharer.mu.Lock()
	defer x.sharer.mu.Unlock()
	return x.unavailable
}

// Recovered returns a channel that is closed when this process reads the platform again after a
// failure, whatever kind of object, or a peer does that tells it of changes.
func (x *Source) Recovered() <-chan struct{} {
	x.sharer.mu.Lock()
	defer x.sharer.mu.Unlock()
	if x.sharer.recovered == nil {
		x.sharer.recovered = make(chan struct{})
	}
	return x.sharer.recovered
}

// awaitProbe waits up to wait while the probe can't read the platform, and returns an error
// if it still can't then.
func (x *Source) awaitProbe(ctx context.Context, wait time.Duration) error {
	if x.Probe == nil {
		return nil
	}
	s := x.sharer
	s.mu.Lock()
	defer s.mu.Unlock()
	for end := time.Now().Add(wait); x.Probe.hasFailed(time.Now()); x.awaitUpdate(ctx, _rolePollInterval) {
		x.unavailable = true
		if !time.Now().Before(end) || ctx.Err() != nil {
			return errProbeFailed
		}
	}
	return nil
}

// hasFailed reports whether the latest read from the platform has failed lately, and no peer
// has read it since. The caller holds the sharer's lock.
func (x *Source) hasFailed(now time.Time) bool {
	return !x.failedAt.IsZero() && now.Sub(x.failedAt) < _probeMemory && !x.confirmedAsOf.After(x.failedAt)
}
