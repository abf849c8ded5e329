package leaser

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
)

// Held reports whether this process holds the lease at now.
func (l *Leaser) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.validUntil)
}

// HeldFor returns the time since this process acquired the lease. No other process has
// held the lease in that time, though it may have expired before it was renewed. The
// result is 0 where this process does not hold the lease at now.
func (l *Leaser) HeldFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.validUntil) {
		return 0
	}
	return now.Sub(l.heldSince)
}

// WasLastHolder reports whether this process was the last known holder of the
// lease: it has held the lease, has not released it and has not read since that another
// process holds it.
func (l *Leaser) WasLastHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.heldSince.IsZero()
}

// Term returns the term of the lease as this process last wrote it.
func (l *Leaser) Term() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// RenewedAt returns when this process sent the last write by which it took or renewed the
// lease.
func (l *Leaser) RenewedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt
}

// recordLoss records that another process holds the lease.
func (l *Leaser) recordLoss() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldSince.IsZero() {
		l.log.Event("lease-lost", logger.Fields{"lease": l.key, "holder": l.lease.GetHolder(), "term": l.lease.GetTerm()})
	}
	l.validUntil, l.heldSince = time.Time{}, time.Time{}
}

// recordHeld records that this process holds the lease, by a write that was sent at
// sentAt.
func (l *Leaser) recordHeld(sentAt time.Time, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldSince.IsZero() {
		l.heldSince = sentAt
		l.log.Event("lease-taken", logger.Fields{"lease": l.key, "term": term})
	}
	l.term, l.renewedAt = term, sentAt
	l.validUntil = sentAt.Add(l.duration() - l.duration()/_marginDivisor)
}
