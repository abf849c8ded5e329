package recorder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

const (
	// _closeTimeout bounds how long Close waits for outcomes to be stored. It fits
	// into the time that a shutdown has left after its drain limit.
	_closeTimeout = 8 * time.Second
	// _maxRetryInterval is the longest pause between two tries to store an outcome.
	_maxRetryInterval = 5 * time.Second
)

// errOtherOwner says that the record belongs to another attempt.
var errOtherOwner = errors.New("the record belongs to another attempt")

// Finish stores the outcome of a call that this attempt sent. It returns at once
// and retries in the background until the outcome is stored or Close gives up. In
// the latter case the record keeps no outcome, and later callers are told that it
// is unknown.
func (r *Recorder) Finish(c *Claim, record *wire.CallRecord) {
	r.outcomeWrites.Go(func() { r.storeOutcome(c.key, c.version, record) })
}

// Abandon stores, in the background, that this attempt ended without sending its
// call. The record may then be claimed again: in this process at once, in others
// as soon as the outcome is stored.
func (r *Recorder) Abandon(c *Claim) {
	record := proto.CloneOf(c.record)
	record.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	r.mu.Lock()
	r.unsent[record.GetOwner()] = true
	r.mu.Unlock()
	r.outcomeWrites.Go(func() {
		if !r.storeOutcome(c.key, c.version, record) {
			return
		}
		r.mu.Lock()
		delete(r.unsent, record.GetOwner())
		r.mu.Unlock()
	})
}

// storeOutcome replaces the given version of the stored record by record, with
// retries. It reports whether it is certain that no record of this attempt is left
// without an outcome.
func (r *Recorder) storeOutcome(key string, version uint64, record *wire.CallRecord) bool {
	value, err := protojson.Marshal(record)
	if err != nil {
		r.log.Failure("record-lost", err, logger.Fields{"key": key, "owner": record.GetOwner()})
		return false
	}
	policy := backoff.NewExponentialBackOff()
	policy.MaxInterval = _maxRetryInterval
	_, err = backoff.Retry(r.ctx, func() (struct{}, error) {
		var tryErr error
		version, tryErr = r.tryStoreOutcome(r.ctx, key, version, record, value)
		return struct{}{}, tryErr
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err == nil || errors.Is(err, errOtherOwner) && record.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		return true
	}
	r.log.Failure("record-lost", err, logger.Fields{"key": key, "owner": record.GetOwner(), "outcome": record.GetOutcome()})
	return false
}

// tryStoreOutcome tries once to store the record, and returns the version that the
// next try is to replace.
func (r *Recorder) tryStoreOutcome(ctx context.Context, key string, version uint64, record *wire.CallRecord, value []byte) (uint64, error) {
	_, err := r.write(ctx, key, version, value)
	if err == nil {
		return version, nil
	}
	if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrNotFound) {
		return version, err
	}
	// The conflict may be with an earlier write of this attempt.
	o, err := r.store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return 0, fmt.Errorf("recorder: store the outcome: the record was deleted: %w", err)
	}
	if err != nil {
		return version, err
	}
	found, err := decode(o)
	if err != nil {
		return version, backoff.Permanent(err)
	}
	if found.GetOwner() != record.GetOwner() {
		return version, backoff.Permanent(fmt.Errorf("recorder: store the outcome: owner %s: %w", found.GetOwner(), errOtherOwner))
	}
	if found.GetOutcome() == record.GetOutcome() {
		return o.Version, nil
	}
	return o.Version, fmt.Errorf("recorder: store the outcome: %w", storer.ErrConflict)
}

// Close waits until every outcome is stored, for at most 8 s, and then gives up
// storing the rest. Call it after the last Begin.
func (r *Recorder) Close() error {
	done := make(chan struct{})
	go func() {
		r.outcomeWrites.Wait()
		close(done)
	}()
	t := time.NewTimer(_closeTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
	r.cancel()
	<-done
	return nil
}
