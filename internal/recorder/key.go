package recorder

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/google/uuid"
)

// ClockSkew is the greatest difference between the caller's clock and this
// process's that CheckKey tolerates.
const ClockSkew = 5 * time.Minute

// Errors of CheckKey.
var (
	// ErrKeyExpired says that the key is so old that its record may have been
	// deleted.
	ErrKeyExpired = errors.New("key is older than the retention of call records")
	// ErrKeyInFuture says that the time in the key is in the future.
	ErrKeyInFuture = errors.New("time in the key is in the future")
)

// KeyTime returns the time that a key carries, and false for a key without one.
// Only a UUID of version 7 carries a time.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	// The first 48 bits are milliseconds since the Unix epoch.
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16)), true
}

// CheckKey refuses a key whose record may have been trimmed already, with
// ErrKeyExpired: one older than retention, or than cutoff, the time before which
// records were trimmed. It refuses a key from the future with ErrKeyInFuture,
// since its record could be trimmed before the key counts as too old. A key that
// carries no time is always accepted.
func CheckKey(key string, now time.Time, retention time.Duration, cutoff time.Time) error {
	at, ok := KeyTime(key)
	switch {
	case !ok:
		return nil
	case at.Before(now.Add(-retention)) || at.Before(cutoff.Add(ClockSkew)):
		return ErrKeyExpired
	case at.After(now.Add(ClockSkew)):
		return ErrKeyInFuture
	}
	return nil
}
