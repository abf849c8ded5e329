package composer

import (
	"context"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

const (
	// _secretKey is the key of the object that holds the secret shared by all instances.
	_secretKey = "secret/peers"
	// _secretRetryDelay is the delay before the secret is read again after a failure.
	_secretRetryDelay = time.Second
	// _secretPeeks is the number of cheap reads of the secret before one that is up to
	// date, and _secretPeekPause the longest pause after each.
	_secretPeeks     = 3
	_secretPeekPause = 400 * time.Millisecond
	// _secretCheckSpread is the time over which the instances look for the secret after the
	// store has come back from an older copy.
	_secretCheckSpread = 2 * time.Second
)

// peerSecret returns the secret shared by all instances, and creates it if there is none.
// It retries failures, and returns false if ctx ends first.
func peerSecret(ctx context.Context, s Store, log logger.Logger) (string, bool) {
	// The secret never changes, so a read that may be out of date is enough to find it.
	for range _secretPeeks {
		if o, err := s.Peek(ctx, _secretKey); err == nil {
			return string(o.Value), true
		}
		// Of processes that start together, one soon creates the secret.
		pauser.Pause(ctx, rand.N(_secretPeekPause))
	}
	for ctx.Err() == nil {
		o, err := s.Get(ctx, _secretKey)
		if err == nil {
			return string(o.Value), true
		}
		if errors.Is(err, storer.ErrNotFound) {
			// The value is a JSON string, since the platform stores JSON.
			_, err = s.Create(ctx, _secretKey, []byte(`"`+crand.Text()+`"`))
			if err == nil || errors.Is(err, storer.ErrConflict) {
				continue
			}
		}
		log.Failure("peers", err, logger.Fields{"step": "read or create the peer secret"})
		pauser.Pause(ctx, _secretRetryDelay)
	}
	return "", false
}

// keepSecret looks for the secret each time the store has come back from an older copy, and
// writes it again if it is gone with what was written since. It returns when the store holds
// another secret, which an instance that started meanwhile has created, or when ctx ends.
func keepSecret(ctx context.Context, s Store, secret string, returned <-chan struct{}, log logger.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-returned:
		}
		pauser.Pause(ctx, rand.N(_secretCheckSpread))
		if !restoreSecret(ctx, s, secret, log) {
			return
		}
	}
}

// restoreSecret writes the secret to the store if there is none. It retries failures, and returns
// false if the store has another one or ctx ends first.
func restoreSecret(ctx context.Context, s Store, secret string, log logger.Logger) bool {
	for ctx.Err() == nil {
		o, err := s.Get(ctx, _secretKey)
		switch {
		case err == nil && string(o.Value) == secret:
			return true
		case err == nil:
			log.Warn("peer-secret", logger.Fields{"outcome": "the store has another one: the exchange with peers begins anew with that"})
			return false
		case errors.Is(err, storer.ErrNotFound):
			_, err = s.Create(ctx, _secretKey, []byte(secret))
			if err == nil {
				log.Warn("peer-secret", logger.Fields{"outcome": "written again, since the store had lost it"})
				return true
			}
			if errors.Is(err, storer.ErrConflict) {
				continue
			}
		}
		log.Failure("peers", err, logger.Fields{"step": "look for the peer secret after the store's return"})
		pauser.Pause(ctx, _secretRetryDelay)
	}
	return false
}
