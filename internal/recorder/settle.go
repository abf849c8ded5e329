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
	// _closeLimit bounds how long Close waits for outcomes to be stored. It fits
	// into the time that a shutdown has after its drain limit.
	_closeLimit = 8 * time.Second
	// _settleInterval is the longest pause between two tries to store an
	// outcome.
	_settleInterval = 5 * time.Second
)

// errTaken says that the record belongs to another attempt.
var errTaken = errors.New("the record belongs to another attempt")

// Finish stores the outcome of a call that this attempt sent. It returns at
// once and goes on in the background until the outcome is stored or Close gives
// up; then the record's outcome stays open, which callers are told as unknown.
func (r *Recorder) Finish(c *Claim, record *wire.CallRecord) {
	r.settles.Go(func() { r.settle(c.key, c.version, record) })
}

// Abandon stores that this attempt ended without sending its call. The key may
// then be claimed again, in this process at once.
func (r *Recorder) Abandon(c *Claim) {
	record := proto.CloneOf(c.record)
	record.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	r.mu.Lock()
	r.unsent[record.GetOwner()] = true
	r.mu.Unlock()
	r.settles.Go(func() {
		if !r.settle(c.key, c.version, record) {
			return
		}
		r.mu.Lock()
		delete(r.unsent, record.GetOwner())
		r.mu.Unlock()
	})
}

// settle stores a record with its outcome over the version given, and reports
// whether no open record of this attempt can be left.
func (r *Recorder) settle(key string, version uint64, record *wire.CallRecord) bool {
	value, err := protojson.Marshal(record)
	if err != nil {
		r.log.Failure("record-lost", err, logger.Fields{"key": key, "owner": record.GetOwner()})
		return false
	}
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = _settleInterval
	_, err = backoff.Retry(r.ctx, func() (struct{}, error) {
		var tryErr error
		version, tryErr = r.settleOnce(r.ctx, key, version, record, value)
		return struct{}{}, tryErr
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err == nil || errors.Is(err, errTaken) && record.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		return true
	}
	r.log.Failure("record-lost", err, logger.Fields{"key": key, "owner": record.GetOwner(), "outcome": record.GetOutcome()})
	return false
}

// settleOnce tries once, and returns the version that the next try is to
// replace.
func (r *Recorder) settleOnce(ctx context.Context, key string, version uint64, record *wire.CallRecord, value []byte) (uint64, error) {
	_, err := r.write(ctx, key, version, value)
	if err == nil {
		return version, nil
	}
	if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrNotFound) {
		return version, err
	}
	// The conflict may be this attempt's own earlier write.
	o, err := r.store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return 0, fmt.Errorf("recorder: settle: the record is gone: %w", err)
	}
	if err != nil {
		return version, err
	}
	found, err := decode(o)
	if err != nil {
		return version, backoff.Permanent(err)
	}
	if found.GetOwner() != record.GetOwner() {
		return version, backoff.Permanent(fmt.Errorf("recorder: settle: owner %s: %w", found.GetOwner(), errTaken))
	}
	if found.GetOutcome() == record.GetOutcome() {
		return o.Version, nil
	}
	return o.Version, fmt.Errorf("recorder: settle: %w", storer.ErrConflict)
}

// Close waits until every outcome is stored, for a bounded time. Call it after
// the last Begin.
func (r *Recorder) Close() error {
	done := make(chan struct{})
	go func() {
		r.settles.Wait()
		close(done)
	}()
	t := time.NewTimer(_closeLimit)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
	r.cancel()
	<-done
	return nil
}
